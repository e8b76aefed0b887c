"""One target as it describes itself."""

from __future__ import annotations

import enum

import msgspec

from galenavane.net import address


class GroupState(enum.Enum):
    """How far a member is in its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The group that a target says it belongs to.

    :ivar rank: place in the group's list of members; rank 0 is the head.
    """

    group: str
    epoch: int
    rank: int
    state: GroupState


class Target(msgspec.Struct, frozen=True, array_like=True):
    """A target.

    :ivar domain: fabric domain; members of a group in one domain are fast together.
    :ivar staged: models whose weights its host keeps.
    :ivar model: model of its present group, empty without one.
    :ivar incarnation: Unix milliseconds of its start.
    """

    id: str
    service: str
    address: address.Address
    data_centre: str
    slots: int
    is_leaving: bool
    domain: str
    staged: tuple[str, ...]
    model: str
    membership: Membership | None
    incarnation: int
