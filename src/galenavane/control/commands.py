"""Computes the commands that bring targets in line with the assignment table."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.config import declaration, in_force
from galenavane.control import condition, fence, group_requirement, instance_status, standby, table
from galenavane.target import command


@dataclasses.dataclass(slots=True, frozen=True)
class AddressedCommand:
    """A command and the target that it is sent to.

    :ivar instance: name of the target's instance.
    :ivar address: address of the target.
    :ivar needs_load: whether the target has to load a shard of a model's weights to carry the
        command out; loading adapters doesn't count.
    :ivar fencing: whether the target checks fencing tokens or ignores them.
    """

    instance: str
    address: str
    command: command.Command
    needs_load: bool
    fencing: declaration.Fencing


@dataclasses.dataclass(slots=True, frozen=True)
class Inputs:
    """Everything that the commands depend on.

    :ivar current: the data centre's assignment table in force.
    :ivar statuses: instances of the data centre by name.
    :ivar held_back: instances that failed too often lately to be used.
    :ivar token: fencing token of this lease holder.
    :ivar now: monotonic time in seconds.
    """

    configuration: in_force.Configuration
    current: table.Table
    statuses: abc.Mapping[str, instance_status.InstanceStatus]
    held_back: frozenset[str]
    token: int
    now: float


def list_due_commands(inputs: Inputs) -> list[AddressedCommand]:
    """Return the commands that are due: leaves, adapter loads, joins, then standby loads.

    A standby load lets an instance without a group load weights that a group may need later.

    The list is empty once any target reports a newer lease holder's token.
    """
    reports = [status.report for status in inputs.statuses.values() if status.report is not None]
    if any(report.token > inputs.token for report in reports):
        return []
    assignments = {
        member.instance: (group, rank)
        for group in inputs.current.groups
        for rank, member in enumerate(group.members)
    }
    commands: list[AddressedCommand] = []
    for name in sorted(inputs.statuses):
        status = inputs.statuses[name]
        if condition.is_responsive(status, inputs.now):
            commands.extend(_list_instance_commands(inputs, status, assignments.get(name)))
    commands.extend(_list_standby_commands(inputs))
    commands.sort(key=_get_kind_rank)
    loading = sum(1 for report in reports if report.shard and not report.loaded)
    return _limit_loads(commands, inputs.configuration.declared.deployment.loads_at_once - loading)


def _get_kind_rank(addressed: AddressedCommand) -> int:
    kinds = [command.Kind.LEAVE, command.Kind.LOAD_ADAPTER, command.Kind.JOIN, command.Kind.LOAD]
    return kinds.index(addressed.command.kind)


def _limit_loads(commands: list[AddressedCommand], free_slots: int) -> list[AddressedCommand]:
    """Drop commands with a load beyond the free load slots of the weight store.

    The weight store is the storage from which the targets of a data centre load weights. It
    carries ``loads_at_once`` of their loads at a time.

    :param free_slots: loads that may start now; negative when too many are under way.
    """
    due = []
    for addressed in commands:
        if addressed.needs_load:
            free_slots -= 1
        if not addressed.needs_load or free_slots >= 0:
            due.append(addressed)
    return due


def _list_instance_commands(
    inputs: Inputs,
    status: instance_status.InstanceStatus,
    assignment: tuple[table.Group, int] | None,
) -> abc.Iterator[AddressedCommand]:
    report = status.report
    # Each group formed gets a higher epoch than those before it, so a target that reports one
    # from ``next_epoch`` on was assigned by a newer table than the one known here.
    if report is None or report.epoch >= inputs.current.next_epoch:
        return
    if assignment is not None:
        group, rank = assignment
        if (report.group, report.epoch) == (group.name, group.epoch):
            if report.adapters != group.adapters:
                yield _address_command(
                    inputs, status, _make_load_adapters(inputs, status, group), False
                )
            return
    if report.group:
        yield _address_command(inputs, status, _make_leave(inputs, status), False)
    # An engine gets a new incarnation at each start; a member that restarted since the assignment
    # counts as lost and isn't told to join.
    if assignment is not None and group.members[rank].incarnation == report.incarnation:
        shard = command.format_shard(group.model, group.version, rank, len(group.members))
        yield _address_command(
            inputs, status, _make_join(inputs, status, group), report.shard != shard
        )


def _list_standby_commands(inputs: Inputs) -> abc.Iterator[AddressedCommand]:
    requirements = group_requirement.compute_requirements(
        inputs.configuration, inputs.current.data_centre
    )
    loads = standby.assign(
        inputs.current, requirements, inputs.statuses, inputs.held_back, inputs.now
    )
    for name, shard in loads.items():
        status = inputs.statuses[name]
        assert status.report is not None
        if not status.report.group:
            load_command = command.Command(
                inputs.token, command.Kind.LOAD, status.report.incarnation, shard=shard
            )
            yield _address_command(inputs, status, load_command, True)


def _address_command(
    inputs: Inputs,
    status: instance_status.InstanceStatus,
    target_command: command.Command,
    needs_load: bool,
) -> AddressedCommand:
    fencing = fence.find_fencing(inputs.configuration.declared, target_command.group)
    return AddressedCommand(
        status.instance.name, status.instance.address, target_command, needs_load, fencing
    )


def _make_leave(inputs: Inputs, status: instance_status.InstanceStatus) -> command.Command:
    report = status.report
    assert report is not None
    return command.Command(
        inputs.token, command.Kind.LEAVE, report.incarnation, report.group, report.epoch
    )


def _make_load_adapters(
    inputs: Inputs, status: instance_status.InstanceStatus, group: table.Group
) -> command.Command:
    assert status.report is not None
    return command.Command(
        token=inputs.token,
        kind=command.Kind.LOAD_ADAPTER,
        incarnation=status.report.incarnation,
        group=group.name,
        epoch=group.epoch,
        adapters=group.adapters,
    )


def _make_join(
    inputs: Inputs, status: instance_status.InstanceStatus, group: table.Group
) -> command.Command:
    assert status.report is not None
    peers = [
        command.Peer(member.instance, member.address, member.incarnation)
        for member in group.members
    ]
    return command.Command(
        token=inputs.token,
        kind=command.Kind.JOIN,
        incarnation=status.report.incarnation,
        group=group.name,
        epoch=group.epoch,
        model=group.model,
        version=group.version,
        adapters=group.adapters,
        peers=peers,
    )
