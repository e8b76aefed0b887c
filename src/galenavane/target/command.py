"""Commands to the engine of a group member."""

from __future__ import annotations

import enum

import msgspec


class Kind(enum.StrEnum):
    """Action that the target is commanded to take."""

    JOIN = "join"
    LOAD = "load"
    LEAVE = "leave"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class Role(enum.StrEnum):
    """Phases of a request that the group handles."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class Peer(msgspec.Struct, frozen=True):
    """One member of the group in a command."""

    instance: str
    address: str
    incarnation: str


class Command(msgspec.Struct, frozen=True):
    """A command with the fencing token of its sender.

    :ivar token: fencing token of the sender's lease.
    :ivar incarnation: incarnation of the target that is addressed; any other one refuses.
    :ivar epoch: increases whenever a group of this name is formed again.
    :ivar peers: all members in rank order; the first one is the leader.
    :ivar shard: for ``LOAD``, name of the weights to load; see :func:`format_shard`.
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
    """Return the name of the weights shard that the member of a rank needs.

    :param members: number of members of the group.
    """
    return f"{model}@{version}/{rank}/{members}"
