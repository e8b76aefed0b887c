"""Task that plans and commands the target groups of the data centre while the lease is held."""

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

CONTROL_INTERVAL_SECONDS = 0.5
MAX_WRITE_ATTEMPTS = 3
WRITE_RETRY_DELAY_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class _ControlState:
    """State of the lease holder's control loop.

    :ivar version: platform version of the assignment table as last read or written.
    :ivar table: assignment table from which the commands follow.
    :ivar is_stored: whether this table is known to be stored in the platform.
    :ivar next_write_at: monotonic time before which no write is attempted, since the platform did
        not answer the last one.
    """

    version: int
    table: table.Table
    is_stored: bool = False
    next_write_at: float = float("-inf")
    damping: damping.State = dataclasses.field(default_factory=damping.State)
    drain: drain_check.State = dataclasses.field(default_factory=drain_check.State)


async def run(view: views.View) -> None:
    """Plan and send commands until cancelled, whenever the lease is held."""
    state: _ControlState | None = None
    while True:
        grant = view.grant.value
        if grant is None:
            state = None
        elif state is None or state.table.token != grant.token:
            state = await _take_over(view, grant)
        else:
            state = await _plan_and_command(view, state, grant)
        await trio.sleep(CONTROL_INTERVAL_SECONDS)


async def _take_over(view: views.View, grant: lease.Grant) -> _ControlState | None:
    """Write this holder's token into the table, so that every write of an older holder fails."""
    data_centre = view.cfg.get(settings.DATA_CENTRE)
    stored = await view.platform.get(table.key(data_centre))
    if stored.is_error():
        return None
    current = table.decode(stored.ok.value) if stored.ok.value else table.Table(data_centre)
    known = view.tables.value.get(data_centre)
    if known is not None and table.is_newer(known, current):
        events.log("table.older_data", token=current.token, seen_token=known.token)
        current = known
    if current.token > grant.token:
        return None
    if current.token < grant.token:
        current = table.take_over(current, grant.token)
    state = _ControlState(stored.ok.version, current)
    return state if await _write_table(view, state) is _WriteResult.STORED else None


class _WriteResult(enum.Enum):
    """Result of writing the assignment table.

    :cvar STORED: the table is stored in the platform.
    :cvar UNAVAILABLE: the platform did not answer, or every attempt conflicted.
    :cvar SUPERSEDED: a newer lease holder has written the table.
    """

    STORED = enum.auto()
    UNAVAILABLE = enum.auto()
    SUPERSEDED = enum.auto()


async def _write_table(view: views.View, state: _ControlState) -> _WriteResult:
    """Write the table to the platform; reads it back after a lost answer or a conflict."""
    key = table.key(state.table.data_centre)
    text = table.encode(state.table)
    for _ in range(MAX_WRITE_ATTEMPTS):
        written = await view.platform.put(key, text, state.version)
        if written.is_ok():
            state.version = written.ok
            state.is_stored = True
            events.log("table.written", token=state.table.token, serial=state.table.serial)
            return _WriteResult.STORED
        stored = await view.platform.get(key)
        if stored.is_error():
            events.log("table.waiting", code=written.error.code.value)
            return _WriteResult.UNAVAILABLE
        in_platform = table.decode(stored.ok.value) if stored.ok.value else None
        if in_platform is not None and in_platform.token > state.table.token:
            events.log("table.lost", token=state.table.token, by=in_platform.token)
            return _WriteResult.SUPERSEDED
        state.version = stored.ok.version
    return _WriteResult.UNAVAILABLE


def _publish_table(view: views.View, state: _ControlState) -> None:
    """Publish the table, so that this entry routes by what it commands."""
    known = view.tables.value.get(state.table.data_centre)
    if known is None or table.is_newer(state.table, known):
        view.tables.publish({**view.tables.value, state.table.data_centre: state.table})


async def _plan_and_command(
    view: views.View, state: _ControlState, grant: lease.Grant
) -> _ControlState | None:
    configuration = view.configuration.value
    if configuration is None:
        return state
    now = trio.current_time()
    statuses = _list_local_statuses(view)
    damped = damping.update(state.damping, statuses, now)
    drained = drain_check.update(
        state.drain, state.table, statuses, count_sends_in_flight(view), now
    )
    planned = plan.plan(plan.Inputs(configuration, state.table, statuses, now, drained, damped))
    if not await _adopt_table(view, state, planned):
        return None
    if not state.is_stored and not fence.all_check_tokens(configuration.declared):
        return state
    _publish_table(view, state)
    now = trio.current_time()
    statuses = _list_local_statuses(view)
    inputs = commands.Inputs(configuration, state.table, statuses, damped, grant.token, now)
    view.is_commanding.publish(True)
    try:
        await _send_commands(view, commands.list_due_commands(inputs), grant.token)
    finally:
        view.is_commanding.publish(False)
    return state


async def _adopt_table(view: views.View, state: _ControlState, planned: table.Table) -> bool:
    """Adopt and write the planned table; return ``False`` if a newer holder has written it.

    While the platform is down, planning continues from the table in memory.
    """
    now = trio.current_time()
    if planned is not state.table:
        state.table = planned
        state.is_stored = False
    if state.is_stored or now < state.next_write_at:
        return True
    written = await _write_table(view, state)
    if written is _WriteResult.UNAVAILABLE:
        state.next_write_at = trio.current_time() + WRITE_RETRY_DELAY_SECONDS
    return written is not _WriteResult.SUPERSEDED


async def _send_commands(
    view: views.View, due: list[commands.AddressedCommand], token: int
) -> None:
    """Send the commands kind by kind, so leaves before joins; those of a kind concurrently."""
    kinds = list(dict.fromkeys(addressed.command.kind for addressed in due))
    for kind in kinds:
        async with trio.open_nursery() as nursery:
            for addressed in due:
                if addressed.command.kind is kind:
                    nursery.start_soon(_send_command, view, addressed, token)


async def _send_command(view: views.View, addressed: commands.AddressedCommand, token: int) -> None:
    """Send one command unless the lease grant has ended.

    The outcome is not kept: the target's next report shows it.
    """

    def is_allowed() -> bool:
        grant = view.grant.value
        is_same = grant is not None and grant.token == token
        return is_same and fence.may_send(addressed.fencing, grant, trio.current_time())

    if not is_allowed():
        return
    events.log(
        "command.send",
        instance=addressed.instance,
        kind=addressed.command.kind.value,
        group=addressed.command.group,
        epoch=addressed.command.epoch,
        token=addressed.command.token,
    )
    response = await view.targets.send(addressed.address, addressed.command, is_allowed)
    if response.is_error():
        events.log("command.failed", instance=addressed.instance, reason=response.error.message)


def count_sends_in_flight(view: views.View) -> collections.Counter[str]:
    """Return the requests in flight at this entry and its peers, by group name.

    Peers report only those of groups that get no new requests.
    """
    sends = collections.Counter(view.router.in_flight.own_by_group)
    for peer in view.peer_states.value.values():
        sends.update(peer.state.draining_sends)
    return sends


def _list_local_statuses(view: views.View) -> dict[str, instance_status.InstanceStatus]:
    own = view.cfg.get(settings.DATA_CENTRE)
    statuses = view.instance_statuses.value
    return {name: status for name, status in statuses.items() if status.instance.data_centre == own}
