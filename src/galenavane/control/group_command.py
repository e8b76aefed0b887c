"""Commands to the targets of replica groups."""

from __future__ import annotations

import msgspec

from galenavane.fleet import replica_group, target


class Join(msgspec.Struct, frozen=True):
    """Makes a target a member of a group.

    :ivar members: target ids by rank, the head first.
    :ivar needs_load: whether the target has to load the weights from the weight store.
    :ivar is_conditional: whether it may be sent only with an expected command count, because the
        target may still carry out other joins.
    :ivar expected_count: number of commands that the target must have accepted before; with any
        other number it refuses the join. ``None`` if it does not matter.
    """

    target: target.Target
    key: replica_group.Key
    model: str
    members: tuple[str, ...]
    needs_load: bool
    is_conditional: bool = False
    expected_count: int | None = None


class Open(msgspec.Struct, frozen=True):
    """Lets the head of a group whose members are all ready serve requests."""

    target: target.Target
    key: replica_group.Key


class Close(msgspec.Struct, frozen=True):
    """Makes a head finish its streams and accept no new ones."""

    target: target.Target
    key: replica_group.Key


class Leave(msgspec.Struct, frozen=True):
    """Makes a target leave a group at once."""

    target: target.Target
    key: replica_group.Key


class Stage(msgspec.Struct, frozen=True):
    """Makes a target load a model's weights onto its host while it continues its other work."""

    target: target.Target
    model: str


Command = Join | Open | Close | Leave | Stage
