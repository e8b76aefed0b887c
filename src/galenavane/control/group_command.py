"""What a target of a replica group is told."""

from __future__ import annotations

import msgspec

from galenavane.fleet import replica_group, target


class Join(msgspec.Struct, frozen=True):
    """Become a member of a group.

    :ivar members: ids by rank, the head first.
    :ivar needs_load: whether the weights have to come from the weight store.
    """

    target: target.Target
    key: replica_group.Key
    model: str
    members: tuple[str, ...]
    needs_load: bool


class Open(msgspec.Struct, frozen=True):
    """Let a head whose members are all ready serve."""

    target: target.Target
    key: replica_group.Key


class Close(msgspec.Struct, frozen=True):
    """Let a head end what it has, and take nothing new."""

    target: target.Target
    key: replica_group.Key


class Leave(msgspec.Struct, frozen=True):
    """Leave a group at once."""

    target: target.Target
    key: replica_group.Key


class Stage(msgspec.Struct, frozen=True):
    """Load a model's weights onto the host, beside all else that the target does."""

    target: target.Target
    model: str


Command = Join | Open | Close | Leave | Stage
