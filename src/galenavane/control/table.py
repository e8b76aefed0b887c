"""Holds the assignment table of a data centre: which instance is in which group."""

from __future__ import annotations

import enum

import msgspec

from galenavane import invariant

TABLE_PREFIX = "table/"
EPOCH_BITS = 20


class Phase(enum.StrEnum):
    """Whether a group serves or drains."""

    ACTIVE = "active"
    DRAINING = "draining"


class Member(msgspec.Struct, frozen=True):
    """An instance in a group, with its incarnation at the time of the assignment."""

    instance: str
    address: str
    incarnation: str


class Group(msgspec.Struct, frozen=True):
    """A replica group.

    :ivar name: unique in the deployment: service, data centre and number.
    :ivar epoch: grows whenever the membership of a group of this name changes.
    :ivar members: by rank; the first is the leader.
    """

    name: str
    service: str
    model: str
    version: str
    epoch: int
    members: list[Member]
    adapters: list[str] = []
    phase: Phase = Phase.ACTIVE


class Table(msgspec.Struct, frozen=True):
    """The groups of a data centre, replaced as a whole by one conditional write.

    :ivar token: fencing token of the lease holder that wrote the table.
    :ivar serial: number of the table, increased with each one of the same holder.
    :ivar next_epoch: epoch of the next group that is formed. Its high bits are the token, so
        that two holders never use one epoch for two memberships.
    """

    data_centre: str
    token: int = 0
    serial: int = 0
    next_epoch: int = 1
    groups: list[Group] = []


def key(data_centre: str) -> str:
    """Return the key under which the platform stores a data centre's table."""
    return TABLE_PREFIX + data_centre


def is_newer(table: Table, other: Table) -> bool:
    """Whether one table of a data centre is newer than another."""
    return (table.token, table.serial) > (other.token, other.serial)


def take_over(current: Table, token: int) -> Table:
    """Return the table under a new holder's token."""
    first_epoch = token << EPOCH_BITS
    return msgspec.structs.replace(
        current, token=token, serial=0, next_epoch=max(current.next_epoch, first_epoch)
    )


def replace_groups(current: Table, groups: list[Group], next_epoch: int) -> Table:
    """Return the next table of the same holder; the current one when no group changes.

    :raises invariant.ViolationError: when an instance would be in two groups, or two groups
        would share a name.
    """
    ordered = sorted(groups, key=lambda group: group.name)
    if ordered == current.groups:
        return current
    validate(ordered)
    return msgspec.structs.replace(
        current, groups=ordered, next_epoch=next_epoch, serial=current.serial + 1
    )


def validate(groups: list[Group]) -> None:
    """Check that no instance is in two groups and that no two groups share a name.

    :raises invariant.ViolationError: otherwise.
    """
    instances = [member.instance for group in groups for member in group.members]
    invariant.check(
        invariant.Number.ONE_GROUP,
        len(instances) == len(set(instances)),
        "the table assigns an instance to two groups",
    )
    names = {group.name for group in groups}
    invariant.check(
        invariant.Number.ONE_GROUP,
        len(names) == len(groups),
        "the table has two groups of the same name",
    )


def parse_number(group: Group) -> int:
    """Return the number at the end of a group's name."""
    return int(group.name.rpartition(".")[2])


def encode(table: Table) -> str:
    """Return a table as canonical JSON text."""
    return msgspec.json.encode(table, order="deterministic").decode()


def decode(text: str) -> Table:
    """Parse a table.

    :raises msgspec.DecodeError: when the text is not a valid table.
    """
    return msgspec.json.decode(text, type=Table)
