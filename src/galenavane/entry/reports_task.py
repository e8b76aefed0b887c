"""The task that asks targets for their reports."""

from __future__ import annotations

import trio

from galenavane.config import settings
from galenavane.control import sighting
from galenavane.entry import view as views
from galenavane.platform import instance


async def run(view: views.View) -> None:
    """Ask every engine of the data centre regularly until cancelled."""
    while True:
        asked = [one for one in view.instances.value if one.kind is instance.Kind.ENGINE]
        fresh: dict[str, sighting.Sighting] = {}
        async with trio.open_nursery() as nursery:
            for one in asked:
                nursery.start_soon(_ask, view, one, fresh)
        view.seen.publish(fresh)
        await trio.sleep(view.cfg.get(settings.REPORT_EVERY))


async def _ask(
    view: views.View, one: instance.Instance, fresh: dict[str, sighting.Sighting]
) -> None:
    sent_at = trio.current_time()
    answer = await view.targets.fetch_report(one.address)
    before = view.seen.value.get(one.name)
    if answer.is_ok():
        fresh[one.name] = sighting.Sighting(one, answer.ok, sent_at)
    elif before is not None:
        fresh[one.name] = sighting.Sighting(one, before.report, before.reported_at)
    else:
        fresh[one.name] = sighting.Sighting(one, None, float("-inf"))
