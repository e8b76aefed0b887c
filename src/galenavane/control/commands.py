"""Decides which commands bring targets to what the table says."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.config import declaration, in_force
from galenavane.control import condition, fence, group_requirement, instance_status, standby, table
from galenavane.target import command


@dataclasses.dataclass(slots=True, frozen=True)
class AddressedCommand:
    """A command and where it goes.

    :ivar needs_load: whether the target has to load weights.
    :ivar fencing: what the target does with an old fencing token.
    """

    instance: str
    address: str
    command: command.Command
    needs_load: bool
    fencing: declaration.Fencing


@dataclasses.dataclass(slots=True, frozen=True)
class Inputs:
    """Everything that commands depend on."""

    configuration: in_force.InForce
    current: table.Table
    statuses: abc.Mapping[str, instance_status.InstanceStatus]
    held_back: frozenset[str]
    token: int
    now: float


def list_due_commands(inputs: Inputs) -> list[AddressedCommand]:
    """Return the commands that are due: leaves, then joins, then loads of spares.

    None when a target shows a newer holder's token.
    """
    reports = [one.report for one in inputs.statuses.values() if one.report is not None]
    if any(one.token > inputs.token for one in reports):
        return []
    assigned = {
        member.instance: (group, rank)
        for group in inputs.current.groups
        for rank, member in enumerate(group.members)
    }
    orders: list[AddressedCommand] = []
    for name in sorted(inputs.statuses):
        found = inputs.statuses[name]
        if condition.is_responsive(found, inputs.now):
            orders.extend(_orders_for(inputs, found, assigned.get(name)))
    orders.extend(_standby_orders(inputs))
    orders.sort(key=_urgency)
    loading = sum(1 for one in reports if one.shard and not one.loaded)
    return _limit_loads(orders, inputs.configuration.declared.deployment.loads_at_once - loading)


def _urgency(order: AddressedCommand) -> int:
    kinds = [command.Kind.LEAVE, command.Kind.LOAD_ADAPTER, command.Kind.JOIN, command.Kind.LOAD]
    return kinds.index(order.command.kind)


def _limit_loads(orders: list[AddressedCommand], room: int) -> list[AddressedCommand]:
    """Leave out loads that the weight store would not carry now."""
    due = []
    for order in orders:
        if order.needs_load:
            room -= 1
        if not order.needs_load or room >= 0:
            due.append(order)
    return due


def _orders_for(
    inputs: Inputs, found: instance_status.InstanceStatus, place: tuple[table.Group, int] | None
) -> abc.Iterator[AddressedCommand]:
    answer = found.report
    if answer is None or answer.epoch >= inputs.current.next_epoch:
        return
    if place is not None:
        group, rank = place
        if (answer.group, answer.epoch) == (group.name, group.epoch):
            if answer.adapters != group.adapters:
                yield _order(inputs, found, _load_adapters(inputs, found, group), False)
            return
    if answer.group:
        yield _order(inputs, found, _leave(inputs, found), False)
    if place is not None and group.members[rank].incarnation == answer.incarnation:
        shard = command.shard(group.model, group.version, rank, len(group.members))
        yield _order(inputs, found, _join(inputs, found, group), answer.shard != shard)


def _standby_orders(inputs: Inputs) -> abc.Iterator[AddressedCommand]:
    wants = group_requirement.compute_requirements(inputs.configuration, inputs.current.data_centre)
    loads = standby.assign(inputs.current, wants, inputs.statuses, inputs.held_back, inputs.now)
    for name, shard in loads.items():
        found = inputs.statuses[name]
        assert found.report is not None
        if not found.report.group:
            load = command.Command(
                inputs.token, command.Kind.LOAD, found.report.incarnation, shard=shard
            )
            yield _order(inputs, found, load, True)


def _order(
    inputs: Inputs, found: instance_status.InstanceStatus, what: command.Command, loads: bool
) -> AddressedCommand:
    fencing = fence.find_fencing(inputs.configuration.declared, what.group)
    return AddressedCommand(found.instance.name, found.instance.address, what, loads, fencing)


def _leave(inputs: Inputs, found: instance_status.InstanceStatus) -> command.Command:
    answer = found.report
    assert answer is not None
    return command.Command(
        inputs.token, command.Kind.LEAVE, answer.incarnation, answer.group, answer.epoch
    )


def _load_adapters(
    inputs: Inputs, found: instance_status.InstanceStatus, group: table.Group
) -> command.Command:
    assert found.report is not None
    return command.Command(
        token=inputs.token,
        kind=command.Kind.LOAD_ADAPTER,
        incarnation=found.report.incarnation,
        group=group.name,
        epoch=group.epoch,
        adapters=group.adapters,
    )


def _join(
    inputs: Inputs, found: instance_status.InstanceStatus, group: table.Group
) -> command.Command:
    assert found.report is not None
    peers = [command.Peer(one.instance, one.address, one.incarnation) for one in group.members]
    return command.Command(
        token=inputs.token,
        kind=command.Kind.JOIN,
        incarnation=found.report.incarnation,
        group=group.name,
        epoch=group.epoch,
        model=group.model,
        version=group.version,
        adapters=group.adapters,
        peers=peers,
    )
