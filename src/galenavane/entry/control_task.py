"""The task that controls the data centre's targets while the lease is held."""

from __future__ import annotations

import collections
import dataclasses
import enum

import trio

from galenavane.config import settings
from galenavane.control import (
    commands,
    damping,
    drain_check,
    fence,
    instance_status,
    plan,
    table,
)
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.store import lease

STEP_SECONDS = 0.5
WRITE_TRIES = 3
WRITE_RETRY_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class _Held:
    """What the holder keeps between two steps.

    :ivar version: platform version of the table as last read or written.
    :ivar table: the table that commands follow.
    :ivar is_kept: whether this table is known to be in the platform.
    :ivar write_after: until when no write is tried, after the platform did not answer.
    """

    version: int
    table: table.Table
    is_kept: bool = False
    write_after: float = float("-inf")
    damping: damping.State = dataclasses.field(default_factory=damping.State)
    quiet: drain_check.State = dataclasses.field(default_factory=drain_check.State)


async def run(view: views.View) -> None:
    """Plan and command until cancelled."""
    held: _Held | None = None
    while True:
        grant = view.grant.value
        if grant is None:
            held = None
        elif held is None or held.table.token != grant.token:
            held = await _take_over(view, grant)
        else:
            held = await _step(view, held, grant)
        await trio.sleep(STEP_SECONDS)


async def _take_over(view: views.View, grant: lease.Grant) -> _Held | None:
    """Write the own token into the table, which makes every older holder's write fail."""
    data_centre = view.cfg.get(settings.DATA_CENTRE)
    found = await view.platform.get(table.key(data_centre))
    if found.is_error():
        return None
    current = table.decode(found.ok.value) if found.ok.value else table.Table(data_centre)
    known = view.tables.value.get(data_centre)
    if known is not None and table.is_newer(known, current):
        events.log("table.older_data", token=current.token, seen_token=known.token)
        current = known
    if current.token > grant.token:
        return None
    if current.token < grant.token:
        current = table.take_over(current, grant.token)
    held = _Held(found.ok.version, current)
    return held if await _write(view, held) is _Written.KEPT else None


class _Written(enum.Enum):
    """How writing the table went.

    :cvar KEPT: it is in the platform.
    :cvar WAITING: the platform doesn't answer.
    :cvar LOST: another holder has the table.
    """

    KEPT = enum.auto()
    WAITING = enum.auto()
    LOST = enum.auto()


async def _write(view: views.View, held: _Held) -> _Written:
    """Write the table that is held; a lost answer or a conflict is settled by reading back."""
    key = table.key(held.table.data_centre)
    text = table.encode(held.table)
    for _ in range(WRITE_TRIES):
        written = await view.platform.put(key, text, held.version)
        if written.is_ok():
            held.version = written.ok
            held.is_kept = True
            events.log("table.written", token=held.table.token, serial=held.table.serial)
            return _Written.KEPT
        found = await view.platform.get(key)
        if found.is_error():
            events.log("table.waiting", code=written.error.code.value)
            return _Written.WAITING
        in_platform = table.decode(found.ok.value) if found.ok.value else None
        if in_platform is not None and in_platform.token > held.table.token:
            events.log("table.lost", token=held.table.token, by=in_platform.token)
            return _Written.LOST
        held.version = found.ok.version
    return _Written.WAITING


def _publish(view: views.View, held: _Held) -> None:
    """Let this entry route by the table that its commands follow."""
    known = view.tables.value.get(held.table.data_centre)
    if known is None or table.is_newer(held.table, known):
        view.tables.publish({**view.tables.value, held.table.data_centre: held.table})


async def _step(view: views.View, held: _Held, grant: lease.Grant) -> _Held | None:
    configuration = view.configuration.value
    if configuration is None:
        return held
    now = trio.current_time()
    seen = _own_sightings(view)
    held_back = damping.update(held.damping, seen, now)
    idle = drain_check.update(held.quiet, held.table, seen, _count_sends(view), now)
    wanted = plan.plan(plan.Inputs(configuration, held.table, seen, now, idle, held_back))
    if not await _change_table(view, held, wanted):
        return None
    if not held.is_kept and not fence.all_check_tokens(configuration.declared):
        return held
    _publish(view, held)
    now = trio.current_time()
    seen = _own_sightings(view)
    inputs = commands.Inputs(configuration, held.table, seen, held_back, grant.token, now)
    view.commanding.publish(True)
    try:
        await _send_all(view, commands.list_due_commands(inputs), grant.token)
    finally:
        view.commanding.publish(False)
    return held


async def _change_table(view: views.View, held: _Held, wanted: table.Table) -> bool:
    """Write what is planned; return whether this entry still has the table.

    While the platform is down, the plan goes on in memory.
    """
    now = trio.current_time()
    if wanted is not held.table:
        held.table = wanted
        held.is_kept = False
    if held.is_kept or now < held.write_after:
        return True
    written = await _write(view, held)
    if written is _Written.WAITING:
        held.write_after = trio.current_time() + WRITE_RETRY_SECONDS
    return written is not _Written.LOST


async def _send_all(view: views.View, orders: list[commands.AddressedCommand], token: int) -> None:
    """Send leaves before joins, each kind at once."""
    kinds = list(dict.fromkeys(order.command.kind for order in orders))
    for kind in kinds:
        async with trio.open_nursery() as nursery:
            for order in orders:
                if order.command.kind is kind:
                    nursery.start_soon(_send, view, order, token)


async def _send(view: views.View, order: commands.AddressedCommand, token: int) -> None:
    """Send one command unless the grant has ended; the target's report is read back."""

    def is_allowed() -> bool:
        grant = view.grant.value
        is_same = grant is not None and grant.token == token
        return is_same and fence.may_send(order.fencing, grant, trio.current_time())

    if not is_allowed():
        return
    events.log(
        "command.send",
        instance=order.instance,
        kind=order.command.kind.value,
        group=order.command.group,
        epoch=order.command.epoch,
        token=order.command.token,
    )
    answer = await view.targets.send(order.address, order.command, is_allowed)
    if answer.is_error():
        events.log("command.failed", instance=order.instance, reason=answer.error.message)


def _count_sends(view: views.View) -> collections.Counter[str]:
    """Return the requests in flight of this entry and its peers by group name."""
    sends = collections.Counter(view.own_shared_state.value.sends)
    for one in view.peer_states.value.values():
        sends.update(one.state.sends)
    return sends


def _own_sightings(view: views.View) -> dict[str, instance_status.InstanceStatus]:
    own = view.cfg.get(settings.DATA_CENTRE)
    seen = view.target_reports.value
    return {name: one for name, one in seen.items() if one.instance.data_centre == own}
