"""Lists and applies the steps of a system state and checks the invariants after each step."""

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


def generate_steps(system: system_state.SystemState) -> abc.Iterator[system_state.Step]:
    """Yield every step that is possible in a state."""
    yield system_state.Step(system_state.StepKind.TICK)
    for entry, lease_state in enumerate(system.leases):
        action = lease.next_action(lease_state, system.now)
        if isinstance(action, lease.Write):
            yield from (
                system_state.Step(system_state.StepKind.LEASE, entry, outcome)
                for outcome in _list_call_outcomes(system)
            )
        elif action is not None:
            yield system_state.Step(system_state.StepKind.LEASE, entry)
        if lease.get_grant(lease_state) is None:
            continue
        if _needs_table_write(system, entry):
            yield from (
                system_state.Step(system_state.StepKind.CONTROL, entry, outcome)
                for outcome in _list_call_outcomes(system)
            )
        elif len(system.commands_in_flight) < system_state.MAX_COMMANDS_IN_FLIGHT:
            yield system_state.Step(system_state.StepKind.CONTROL, entry)
    yield from (
        system_state.Step(system_state.StepKind.DELAYED_WRITE, index)
        for index in range(len(system.delayed_writes))
    )
    yield from (
        system_state.Step(system_state.StepKind.DELIVERY, index)
        for index in range(len(system.commands_in_flight))
    )


def _list_call_outcomes(system: system_state.SystemState) -> list[system_state.CallOutcome]:
    outcomes = [
        system_state.CallOutcome.ANSWERED,
        system_state.CallOutcome.RESPONSE_LOST,
        system_state.CallOutcome.REQUEST_LOST,
    ]
    return (
        outcomes + [system_state.CallOutcome.DELAYED]
        if len(system.delayed_writes) < system_state.MAX_DELAYED_WRITES
        else outcomes
    )


def apply_step(
    system: system_state.SystemState, step: system_state.Step
) -> system_state.SystemState:
    """Return the state after a step; the given state is not changed.

    :raises invariant.ViolationError: when an invariant is violated in or after the step.
    """
    next_system = _copy_system(system)
    if step.kind is system_state.StepKind.TICK:
        next_system.now += system_state.TICK_SECONDS
    elif step.kind is system_state.StepKind.LEASE:
        _step_lease(next_system, step)
    elif step.kind is system_state.StepKind.CONTROL:
        _step_control(next_system, step)
    elif step.kind is system_state.StepKind.DELAYED_WRITE:
        write = next_system.delayed_writes[step.index]
        next_system.delayed_writes = _remove_at(next_system.delayed_writes, step.index)
        _apply_write(next_system, write)
    else:
        sent = next_system.commands_in_flight[step.index]
        next_system.commands_in_flight = _remove_at(next_system.commands_in_flight, step.index)
        _deliver_command(next_system, sent)
    _check_invariants(next_system)
    return next_system


def _copy_system(system: system_state.SystemState) -> system_state.SystemState:
    copied = copy.copy(system)
    copied.leases = [
        dataclasses.replace(lease_state, pending_writes=dict(lease_state.pending_writes))
        for lease_state in system.leases
    ]
    copied.held_tables = list(system.held_tables)
    copied.targets = [copy.copy(target) for target in system.targets]
    return copied


def _remove_at(items: tuple[_T, ...], index: int) -> tuple[_T, ...]:
    return items[:index] + items[index + 1 :]


def _step_lease(system: system_state.SystemState, step: system_state.Step) -> None:
    lease_state = system.leases[step.index]
    write = lease.next_action(lease_state, system.now)
    if not isinstance(write, lease.Write):
        lease.record_read(lease_state, system.lease_version, system.lease_value, system.now)
        return
    lease.record_write_sent(lease_state, write, system.now)
    version = _send_write(
        system, system_state.PlatformWrite(write.if_version, write.value, None), step.outcome
    )
    if version is None:
        lease.require_read(lease_state)
    else:
        lease.record_written(lease_state, version, write.value)


def _send_write(
    system: system_state.SystemState,
    write: system_state.PlatformWrite,
    outcome: system_state.CallOutcome,
) -> int | None:
    """Send a write; return the written version if the caller receives the response."""
    if outcome is system_state.CallOutcome.DELAYED:
        system.delayed_writes += (write,)
    if outcome in (system_state.CallOutcome.DELAYED, system_state.CallOutcome.REQUEST_LOST):
        return None
    version = _apply_write(system, write)
    return version if outcome is system_state.CallOutcome.ANSWERED else None


def _apply_write(system: system_state.SystemState, write: system_state.PlatformWrite) -> int | None:
    if write.table is None:
        if write.if_version != system.lease_version:
            return None
        system.revision += 1
        system.lease_version, system.lease_value = system.revision, write.value
    else:
        if write.if_version != system.table_version:
            return None
        invariant.check(
            invariant.Number.CONFIGURATION,
            not table.is_newer(system.table, write.table),
            "an older table would replace the platform's table",
        )
        system.revision += 1
        system.table_version, system.table = system.revision, write.table
        system.routable_tables |= {table.encode(write.table)}
    return system.revision


def _needs_table_write(system: system_state.SystemState, entry: int) -> bool:
    held_table = system.held_tables[entry]
    grant = lease.get_grant(system.leases[entry])
    assert grant is not None
    return held_table is None or held_table.table.token != grant.token or not held_table.is_stored


def _step_control(system: system_state.SystemState, step: system_state.Step) -> None:
    grant = lease.get_grant(system.leases[step.index])
    assert grant is not None
    if _needs_table_write(system, step.index):
        _write_table(system, step, grant)
    held_table = system.held_tables[step.index]
    all_check = all(target.faults.checks_token for target in system.targets)
    if held_table is not None and (held_table.is_stored or all_check):
        _send_commands(system, held_table, grant)


def _write_table(
    system: system_state.SystemState, step: system_state.Step, grant: lease.Grant
) -> None:
    """Take over the table and write this entry's plan.

    After a conflict or a lost response the table is read back.
    """
    held_table = system.held_tables[step.index]
    is_own_table = held_table is not None and held_table.table.token == grant.token
    if not is_own_table and step.outcome is system_state.CallOutcome.REQUEST_LOST:
        return
    current = held_table.table if held_table is not None and is_own_table else system.table
    if current.token > grant.token:
        system.held_tables[step.index] = None
        return
    if current.token < grant.token:
        current = table.take_over(current, grant.token)
    planned = _plan_table(current, step.index)
    version = (
        held_table.version if held_table is not None and is_own_table else system.table_version
    )
    written_version = _send_write(
        system, system_state.PlatformWrite(version, None, planned), step.outcome
    )
    if written_version is None and step.outcome in (
        system_state.CallOutcome.ANSWERED,
        system_state.CallOutcome.RESPONSE_LOST,
    ):
        written_version, version = _read_back(system, planned)
        if written_version is None and system.table.token > planned.token:
            system.held_tables[step.index] = None
            return
    system.held_tables[step.index] = system_state.HeldTable(
        written_version or version, planned, written_version is not None
    )
    system.routable_tables |= {table.encode(planned)}


def _read_back(system: system_state.SystemState, planned: table.Table) -> tuple[int | None, int]:
    is_own = system.table == planned
    return (system.table_version if is_own else None), system.table_version


def _plan_table(current: table.Table, entry: int) -> table.Table:
    """Return the table that an entry plans.

    The first entry plans one group of both targets, the others two groups of one target each.
    """
    first = table.Member("t0", "10.0.0.1:1", "i0")
    second = table.Member("t1", "10.0.0.2:1", "i1")
    planned_members = ([[first, second]], [[second], [first]], [[first], [second]])
    if [group.members for group in current.groups] == planned_members[entry] and current.serial:
        return current
    groups = [
        table.Group(f"s.dc.{rank}", "s", "m", "v", current.next_epoch + rank, members)
        for rank, members in enumerate(planned_members[entry])
    ]
    return table.replace_groups(current, groups, current.next_epoch + len(groups))


def _send_commands(
    system: system_state.SystemState, held_table: system_state.HeldTable, grant: lease.Grant
) -> None:
    inputs = commands.Inputs(
        CONFIGURATION,
        held_table.table,
        system_state.make_statuses(system),
        frozenset(),
        grant.token,
        system.now,
    )
    for addressed in commands.list_due_commands(inputs):
        target = int(addressed.instance[1:])
        checks_token = system.targets[target].faults.checks_token
        fencing = declaration.Fencing.CHECKED if checks_token else declaration.Fencing.IGNORED
        sent = system_state.SentCommand(target, addressed.command, system.now)
        is_due = (
            sent not in system.commands_in_flight
            and len(system.commands_in_flight) < system_state.MAX_COMMANDS_IN_FLIGHT
        )
        if is_due and fence.may_send(fencing, grant, system.now):
            system.commands_in_flight += (sent,)


def _deliver_command(system: system_state.SystemState, sent: system_state.SentCommand) -> None:
    target = system.targets[sent.target]
    if not target.faults.checks_token and system.now <= sent.sent_at + fence.MAX_COMMAND_SECONDS:
        invariant.check(
            invariant.Number.ONE_GROUP,
            sent.command.token >= target.token,
            "a target received a command of an unpaused holder after one of its successor",
        )
    if not target.find_refusal(sent.command):
        target.apply_command(sent.command, system.now)


def _check_invariants(system: system_state.SystemState) -> None:
    holders = [
        entry
        for entry, lease_state in enumerate(system.leases)
        if lease.get_token(lease_state, system.now) is not None
    ]
    invariant.check(invariant.Number.ONE_GROUP, len(holders) <= 1, "two entries hold the lease")
    for entry in holders:
        token = lease.get_token(system.leases[entry], system.now)
        assert token is not None
        system.token_holders |= {(token, entry)}
    tokens = [token for token, _ in system.token_holders]
    invariant.check(
        invariant.Number.ONE_GROUP,
        len(tokens) == len(set(tokens)),
        "two lease holders had the same fencing token",
    )
    _check_complete_groups(system)


def _check_complete_groups(system: system_state.SystemState) -> None:
    """Check that the members of each group that counts as complete have joined exactly it."""
    statuses = system_state.make_statuses(system)
    targets = {target.name: target for target in system.targets}
    for encoded in system.routable_tables:
        for group in table.decode(encoded).groups:
            if not completeness.is_complete(group, statuses, system.now):
                continue
            names = [member.instance for member in group.members]
            for member in group.members:
                joined = [peer.instance for peer in targets[member.instance].peers]
                invariant.check(
                    invariant.Number.COMPLETE_GROUP,
                    joined == names,
                    f"{member.instance} joined {joined}, but {group.name} counts as complete",
                )
