"""Which targets may be used, by the platform's list and its changes."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.fleet import target

LAPSE_GRACE_SECONDS = 2.0
"""Entries that lapsed in an outage are listed again this long after its end, by the platform."""
OUTAGE_SECONDS = 0.6
"""The store's longest silence after which missing entries count as gone at once."""


@dataclasses.dataclass(slots=True)
class Registry:
    """The list as last seen.

    :ivar revision: of the list; 0 before the first one.
    :ivar last_models: model of each target's last group, by id and incarnation.
    :ivar held: ids that are missing since an outage, and until when they count as alive.
    :ivar grace_until: end of the time in which a missing entry may only have lapsed.
    :ivar changes: counts changes, for those who cache what they derive.
    """

    targets: dict[str, target.Target] = dataclasses.field(default_factory=dict)
    revision: int = 0
    last_models: dict[tuple[str, int], str] = dataclasses.field(default_factory=dict)
    held: dict[str, float] = dataclasses.field(default_factory=dict)
    grace_until: float = 0.0
    changes: int = 0


def note_return(state: Registry, silent_seconds: float, now: float) -> None:
    """Take in that the store answers again after a silence."""
    if silent_seconds >= OUTAGE_SECONDS:
        state.grace_until = now + LAPSE_GRACE_SECONDS


def replace(
    state: Registry, found: abc.Sequence[target.Target], revision: int, now: float
) -> list[str]:
    """Take in a whole list; return the ids that are no longer listed.

    A list that is older than the one known is ignored.
    """
    if revision < state.revision:
        return []
    state.revision = revision
    for one in found:
        _put(state, one)
    listed = {one.id for one in found}
    gone = [known for known in state.targets if known not in listed]
    return [one for one in gone if _remove(state, one, now)]


def put(state: Registry, one: target.Target) -> None:
    """Take in a new or changed entry."""
    _put(state, one)


def remove(state: Registry, target_id: str, now: float) -> bool:
    """Take in that an entry is gone; return whether its target counts as gone now."""
    return _remove(state, target_id, now)


def expire(state: Registry, now: float) -> list[str]:
    """Drop targets whose entries did not come back after an outage; return their ids."""
    over = [one for one, until in state.held.items() if now >= until]
    for one in over:
        del state.held[one]
        state.targets.pop(one, None)
        state.changes += 1
    return over


def _put(state: Registry, one: target.Target) -> None:
    state.held.pop(one.id, None)
    if state.targets.get(one.id) == one:
        return
    state.targets[one.id] = one
    state.changes += 1
    if one.model:
        state.last_models[(one.id, one.incarnation)] = one.model


def _remove(state: Registry, target_id: str, now: float) -> bool:
    if target_id not in state.targets:
        return False
    if now < state.grace_until:
        state.held.setdefault(target_id, state.grace_until)
        return False
    gone = state.targets.pop(target_id)
    state.held.pop(target_id, None)
    state.last_models.pop((gone.id, gone.incarnation), None)
    state.changes += 1
    return True
