"""Decides which commands bring targets to what the table says."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.control import sighting, table
from galenavane.target import command


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """A command and where it goes."""

    instance: str
    address: str
    command: command.Command


def next_orders(
    current: table.Table, seen: abc.Mapping[str, sighting.Sighting], token: int
) -> list[Order]:
    """Return the commands that are due, leaves before joins."""
    assigned = {member.instance: group for group in current.groups for member in group.members}
    orders: list[Order] = []
    for name in sorted(seen):
        found = seen[name]
        if found.report is not None:
            orders.extend(_orders_for(found, assigned.get(name), token))
    return sorted(orders, key=lambda one: one.command.kind is command.Kind.JOIN)


def _orders_for(
    found: sighting.Sighting, group: table.Group | None, token: int
) -> abc.Iterator[Order]:
    answer = found.report
    assert answer is not None
    at = (answer.group, answer.epoch)
    if group is not None and at == (group.name, group.epoch):
        return
    where = found.instance
    if answer.group:
        leave = command.Command(
            token, command.Kind.LEAVE, answer.incarnation, answer.group, answer.epoch
        )
        yield Order(where.name, where.address, leave)
    if group is not None and _is_assigned(group, answer.instance, answer.incarnation):
        yield Order(where.name, where.address, _join(group, answer.incarnation, token))


def _is_assigned(group: table.Group, name: str, incarnation: str) -> bool:
    return any((one.instance, one.incarnation) == (name, incarnation) for one in group.members)


def _join(group: table.Group, incarnation: str, token: int) -> command.Command:
    peers = [command.Peer(one.instance, one.address, one.incarnation) for one in group.members]
    return command.Command(
        token=token,
        kind=command.Kind.JOIN,
        incarnation=incarnation,
        group=group.name,
        epoch=group.epoch,
        model=group.model,
        version=group.version,
        adapters=group.adapters,
        peers=peers,
    )
