"""The steps that entries, the platform and targets may take, and what must hold after each."""

from __future__ import annotations

import copy
import dataclasses
import typing
from collections import abc

from galenavane import invariant
from galenavane.config import declaration, head, in_force
from galenavane.control import commands, completeness, fence, table
from galenavane.experiment import system_state
from galenavane.store import lease

_T = typing.TypeVar("_T")
CONFIGURATION = in_force.Configuration(
    head.Head(1, {}, "p", "w"),
    declaration.Declarations(
        declaration.Deployment("w"),
        [declaration.Service("s", declaration.ServiceKind.MODEL)],
        [declaration.Model("m", ["v"])],
        [],
        [declaration.Preset("p")],
        [],
    ),
)


def steps(world: system_state.World) -> abc.Iterator[system_state.Step]:
    """Return every step that is possible now."""
    yield system_state.Step(system_state.Kind.TICK)
    for number, state in enumerate(world.leases):
        order = lease.next_action(state, world.now)
        if isinstance(order, lease.Write):
            yield from (
                system_state.Step(system_state.Kind.LEASE, number, fate) for fate in _fates(world)
            )
        elif order is not None:
            yield system_state.Step(system_state.Kind.LEASE, number)
        if lease.get_grant(state) is None:
            continue
        if _needs_write(world, number):
            yield from (
                system_state.Step(system_state.Kind.CONTROL, number, fate) for fate in _fates(world)
            )
        elif len(world.flights) < system_state.MAX_FLIGHTS:
            yield system_state.Step(system_state.Kind.CONTROL, number)
    yield from (
        system_state.Step(system_state.Kind.LAND, number) for number in range(len(world.late))
    )
    yield from (
        system_state.Step(system_state.Kind.DELIVER, number) for number in range(len(world.flights))
    )


def _fates(world: system_state.World) -> list[system_state.Fate]:
    fates = [system_state.Fate.DONE, system_state.Fate.LOST, system_state.Fate.CUT]
    return (
        fates + [system_state.Fate.LATE] if len(world.late) < system_state.MAX_LATE_CALLS else fates
    )


def take(world: system_state.World, step: system_state.Step) -> system_state.World:
    """Return the world after a step.

    :raises invariant.ViolationError: when an invariant does not hold in it.
    """
    after = _copy(world)
    if step.kind is system_state.Kind.TICK:
        after.now += system_state.TICK_SECONDS
    elif step.kind is system_state.Kind.LEASE:
        _step_lease(after, step)
    elif step.kind is system_state.Kind.CONTROL:
        _step_control(after, step)
    elif step.kind is system_state.Kind.LAND:
        call = after.late[step.index]
        after.late = _without(after.late, step.index)
        _apply(after, call)
    else:
        flight = after.flights[step.index]
        after.flights = _without(after.flights, step.index)
        _deliver(after, flight)
    _check(after)
    return after


def _copy(world: system_state.World) -> system_state.World:
    after = copy.copy(world)
    after.leases = [
        dataclasses.replace(one, pending_writes=dict(one.pending_writes)) for one in world.leases
    ]
    after.held = list(world.held)
    after.targets = [copy.copy(one) for one in world.targets]
    return after


def _without(items: tuple[_T, ...], index: int) -> tuple[_T, ...]:
    return items[:index] + items[index + 1 :]


def _step_lease(world: system_state.World, step: system_state.Step) -> None:
    state = world.leases[step.index]
    order = lease.next_action(state, world.now)
    if not isinstance(order, lease.Write):
        lease.record_read(state, world.lease_version, world.lease_value, world.now)
        return
    lease.record_write_sent(state, order, world.now)
    version = _call(world, system_state.Call(order.if_version, order.value, None), step.fate)
    if version is None:
        lease.require_read(state)
    else:
        lease.record_written(state, version, order.value)


def _call(
    world: system_state.World, call: system_state.Call, fate: system_state.Fate
) -> int | None:
    """Make a call; return the version written if the caller learns of it."""
    if fate is system_state.Fate.LATE:
        world.late += (call,)
    if fate in (system_state.Fate.LATE, system_state.Fate.CUT):
        return None
    version = _apply(world, call)
    return version if fate is system_state.Fate.DONE else None


def _apply(world: system_state.World, call: system_state.Call) -> int | None:
    if call.table is None:
        if call.if_version != world.lease_version:
            return None
        world.revision += 1
        world.lease_version, world.lease_value = world.revision, call.value
    else:
        if call.if_version != world.table_version:
            return None
        invariant.check(
            invariant.Number.CONFIGURATION,
            not table.is_newer(world.table, call.table),
            "the platform's table went back",
        )
        world.revision += 1
        world.table_version, world.table = world.revision, call.table
        world.tables |= {table.encode(call.table)}
    return world.revision


def _needs_write(world: system_state.World, number: int) -> bool:
    held = world.held[number]
    grant = lease.get_grant(world.leases[number])
    assert grant is not None
    return held is None or held.table.token != grant.token or not held.is_kept


def _step_control(world: system_state.World, step: system_state.Step) -> None:
    grant = lease.get_grant(world.leases[step.index])
    assert grant is not None
    if _needs_write(world, step.index):
        _write_table(world, step, grant)
    held = world.held[step.index]
    all_check = all(one.faults.checks_token for one in world.targets)
    if held is not None and (held.is_kept or all_check):
        _send(world, held, grant)


def _write_table(world: system_state.World, step: system_state.Step, grant: lease.Grant) -> None:
    """Take the table over and write this entry's plan; a lost answer is read back."""
    held = world.held[step.index]
    is_known = held is not None and held.table.token == grant.token
    if not is_known and step.fate is system_state.Fate.CUT:
        return
    current = held.table if held is not None and is_known else world.table
    if current.token > grant.token:
        world.held[step.index] = None
        return
    if current.token < grant.token:
        current = table.take_over(current, grant.token)
    wanted = _plan(current, step.index)
    version = held.version if held is not None and is_known else world.table_version
    written = _call(world, system_state.Call(version, None, wanted), step.fate)
    if written is None and step.fate in (system_state.Fate.DONE, system_state.Fate.LOST):
        written, version = _read_back(world, wanted)
        if written is None and world.table.token > wanted.token:
            world.held[step.index] = None
            return
    world.held[step.index] = system_state.Held(written or version, wanted, written is not None)
    world.tables |= {table.encode(wanted)}


def _read_back(world: system_state.World, wanted: table.Table) -> tuple[int | None, int]:
    is_own = world.table == wanted
    return (world.table_version if is_own else None), world.table_version


def _plan(current: table.Table, entry: int) -> table.Table:
    """Return what an entry wants: the first both targets in one group, others two groups."""
    first = table.Member("t0", "10.0.0.1:1", "i0")
    second = table.Member("t1", "10.0.0.2:1", "i1")
    shapes = ([[first, second]], [[second], [first]], [[first], [second]])
    if [group.members for group in current.groups] == shapes[entry] and current.serial:
        return current
    groups = [
        table.Group(f"s.dc.{rank}", "s", "m", "v", current.next_epoch + rank, members)
        for rank, members in enumerate(shapes[entry])
    ]
    return table.replace_groups(current, groups, current.next_epoch + len(groups))


def _send(world: system_state.World, held: system_state.Held, grant: lease.Grant) -> None:
    inputs = commands.Inputs(
        CONFIGURATION,
        held.table,
        system_state.sightings(world),
        frozenset(),
        grant.token,
        world.now,
    )
    for order in commands.list_due_commands(inputs):
        target = int(order.instance[1:])
        checks = world.targets[target].faults.checks_token
        fencing = declaration.Fencing.CHECKED if checks else declaration.Fencing.IGNORED
        flight = system_state.Flight(target, order.command, world.now)
        is_due = flight not in world.flights and len(world.flights) < system_state.MAX_FLIGHTS
        if is_due and fence.may_send(fencing, grant, world.now):
            world.flights += (flight,)


def _deliver(world: system_state.World, flight: system_state.Flight) -> None:
    target = world.targets[flight.target]
    if not target.faults.checks_token and world.now <= flight.sent_at + fence.MAX_COMMAND_SECONDS:
        invariant.check(
            invariant.Number.ONE_GROUP,
            flight.command.token >= target.token,
            "a holder that was not paused commands a target after its successor",
        )
    if not target.refusal(flight.command):
        target.carry_out(flight.command, world.now)


def _check(world: system_state.World) -> None:
    holders = [
        number
        for number, state in enumerate(world.leases)
        if lease.get_token(state, world.now) is not None
    ]
    invariant.check(invariant.Number.ONE_GROUP, len(holders) <= 1, "two entries hold the lease")
    for number in holders:
        token = lease.get_token(world.leases[number], world.now)
        assert token is not None
        world.owners |= {(token, number)}
    tokens = [token for token, _ in world.owners]
    invariant.check(
        invariant.Number.ONE_GROUP, len(tokens) == len(set(tokens)), "two holders had one token"
    )
    _check_complete(world)


def _check_complete(world: system_state.World) -> None:
    """Check that whatever an entry may take for complete is what the members are in."""
    seen = system_state.sightings(world)
    states = {one.name: one for one in world.targets}
    for text in world.tables:
        for group in table.decode(text).groups:
            if not completeness.is_complete(group, seen, world.now):
                continue
            names = [member.instance for member in group.members]
            for member in group.members:
                joined = [peer.instance for peer in states[member.instance].peers]
                invariant.check(
                    invariant.Number.COMPLETE_GROUP,
                    joined == names,
                    f"{member.instance} is in {joined}, and {group.name} is taken for complete",
                )
