"""Commands to a member's engine."""

from __future__ import annotations

import enum

import msgspec


class Kind(enum.StrEnum):
    """What the target is told to do."""

    JOIN = "join"
    LOAD = "load"
    LEAVE = "leave"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class Role(enum.StrEnum):
    """Which part of a request the group works on."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class Peer(msgspec.Struct, frozen=True):
    """One member of the group as the command names it."""

    instance: str
    address: str
    incarnation: str


class Command(msgspec.Struct, frozen=True):
    """A command with the fencing token of who gives it.

    :ivar token: fencing token of the lease under which it is given.
    :ivar incarnation: the target's incarnation that is meant; another one refuses.
    :ivar epoch: grows whenever a group of this name is formed anew.
    :ivar peers: all members in rank order; the first leads.
    :ivar shard: for ``LOAD`` the weights to load; see :func:`format_shard`.
    """

    token: int
    kind: Kind
    incarnation: str
    group: str = ""
    epoch: int = 0
    model: str = ""
    version: str = ""
    adapters: list[str] = []
    role: Role = Role.BOTH
    peers: list[Peer] = []
    shard: str = ""


def format_shard(model: str, version: str, rank: int, members: int) -> str:
    """Return the name of the weights that the member of a rank needs."""
    return f"{model}@{version}/{rank}/{members}"
