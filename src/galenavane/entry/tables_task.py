"""The task that follows the assignment tables."""

from __future__ import annotations

import trio

from galenavane.config import settings
from galenavane.control import table
from galenavane.entry import view as views
from galenavane.observe import events

WATCH_SECONDS = 2.0
RETRY_SECONDS = 0.5


async def run(view: views.View) -> None:
    """Watch the tables until cancelled; in a large deployment only the own data centre's."""
    revision = 0
    own = table.key(view.cfg.get(settings.DATA_CENTRE))
    while True:
        prefix = own if view.is_large() else table.TABLE_PREFIX
        found = await view.platform.watch(prefix, revision, WATCH_SECONDS)
        if found.is_error():
            await trio.sleep(RETRY_SECONDS)
            continue
        revision = max(revision, found.ok.revision)
        _merge(view, [table.decode(one.value) for one in found.ok.objects if one.value])


def _merge(view: views.View, offered: list[table.Table]) -> None:
    """Publish the newer tables; an older one than was seen is never taken."""
    merged = dict(view.tables.value)
    for one in offered:
        known = merged.get(one.data_centre)
        if known is None or table.is_newer(one, known):
            merged[one.data_centre] = one
        elif table.is_newer(known, one):
            events.log("table.older", data_centre=one.data_centre, token=one.token)
    if merged != view.tables.value:
        view.tables.publish(merged)
