"""Describes one target, as it reports itself."""

from __future__ import annotations

import enum

import msgspec

from galenavane.net import address


class GroupState(enum.Enum):
    """State of a member in its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The group that a target reports to be a member of.

    :ivar rank: position among the group's members; rank 0 is the head.
    """

    group: str
    epoch: int
    rank: int
    state: GroupState


class Target(msgspec.Struct, frozen=True, array_like=True):
    """A target as the platform lists it.

    :ivar slots: number of requests that it runs at once.
    :ivar is_leaving: whether it is about to stop.
    :ivar domain: fabric domain; members of a group communicate fast within one domain.
    :ivar staged: models whose weights its host keeps.
    :ivar model: model of its current group, empty without one.
    :ivar incarnation: start time in Unix milliseconds.
    :ivar last_model: model of its last group since its start, also after it has left; empty if
        unknown.
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
    last_model: str = ""
