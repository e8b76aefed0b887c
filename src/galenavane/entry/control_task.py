"""The task that controls the data centre's targets while the lease is held."""

from __future__ import annotations

import dataclasses

import msgspec
import trio

from galenavane.config import settings
from galenavane.control import commands, plan, sighting, table
from galenavane.entry import view as views
from galenavane.observe import events

STEP_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class _Held:
    """The table as last read or written, with its platform version."""

    version: int
    table: table.Table


async def run(view: views.View) -> None:
    """Plan and command until cancelled."""
    held: _Held | None = None
    while True:
        token = view.token.value
        if token is None:
            held = None
        elif held is None or held.table.token != token:
            held = await _take_over(view, token)
        else:
            held = await _step(view, held, token)
        await trio.sleep(STEP_SECONDS)


async def _take_over(view: views.View, token: int) -> _Held | None:
    """Write the own token into the table, which makes every older holder's write fail."""
    data_centre = view.cfg.get(settings.DATA_CENTRE)
    found = await view.platform.get(table.key(data_centre))
    if found.is_error():
        return None
    current = table.Table(data_centre)
    if found.ok.value:
        current = table.decode(found.ok.value)
    if current.token > token:
        return None
    taken = msgspec.structs.replace(current, token=token)
    return await _write(view, _Held(found.ok.version, current), taken)


async def _write(view: views.View, held: _Held, wanted: table.Table) -> _Held | None:
    key = table.key(wanted.data_centre)
    written = await view.platform.put(key, table.encode(wanted), held.version)
    if written.is_error():
        events.log("table.lost", reason=written.error.message)
        return None
    events.log("table.written", token=wanted.token, groups=len(wanted.groups))
    return _Held(written.ok, wanted)


async def _step(view: views.View, held: _Held, token: int) -> _Held | None:
    configuration = view.configuration.value
    if configuration is None:
        return held
    seen = _own_sightings(view)
    inputs = plan.Inputs(configuration, held.table, seen, trio.current_time())
    wanted = plan.plan(inputs)
    if wanted != held.table:
        written = await _write(view, held, wanted)
        if written is None:
            return None
        held = written
    for order in commands.next_orders(held.table, seen, token):
        if view.token.value != token:
            return None
        await _send(view, order)
    return held


async def _send(view: views.View, order: commands.Order) -> None:
    events.log(
        "command.send",
        instance=order.instance,
        kind=order.command.kind.value,
        group=order.command.group,
        epoch=order.command.epoch,
        token=order.command.token,
    )
    answer = await view.targets.send(order.address, order.command)
    if answer.is_error():
        events.log("command.failed", instance=order.instance, reason=answer.error.message)


def _own_sightings(view: views.View) -> dict[str, sighting.Sighting]:
    own = view.cfg.get(settings.DATA_CENTRE)
    seen = view.seen.value
    return {name: one for name, one in seen.items() if one.instance.data_centre == own}
