"""The assignment table of a data centre."""

from __future__ import annotations

import enum

import msgspec

TABLE_PREFIX = "table/"


class Phase(enum.StrEnum):
    """What is to become of a group."""

    ACTIVE = "active"
    DRAINING = "draining"


class Member(msgspec.Struct, frozen=True):
    """One instance of a group, with the incarnation that was assigned."""

    instance: str
    address: str
    incarnation: str


class Group(msgspec.Struct, frozen=True):
    """A replica group.

    :ivar name: unique in the deployment: service, data centre and number.
    :ivar epoch: grows whenever the membership of a group of this name changes.
    :ivar members: in rank order; the first leads.
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
    """Which instance is in which group; one conditional write decides.

    :ivar token: fencing token of the holder that wrote it.
    :ivar next_epoch: epoch of the next group that is formed.
    """

    data_centre: str
    token: int = 0
    next_epoch: int = 1
    groups: list[Group] = []


def key(data_centre: str) -> str:
    """Return the platform key of a data centre's table."""
    return TABLE_PREFIX + data_centre


def encode(table: Table) -> str:
    """Return the canonical text of a table."""
    return msgspec.json.encode(table, order="deterministic").decode()


def decode(text: str) -> Table:
    """Parse a table.

    :raises msgspec.DecodeError: when the text is damaged.
    """
    return msgspec.json.decode(text, type=Table)
