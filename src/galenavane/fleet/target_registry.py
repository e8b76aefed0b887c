"""Which targets may be used, by the platform's list and its changes."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.fleet import target

RECOVERY_GRACE_SECONDS = 2.0
"""Entries that lapsed in an outage are listed again this long after its end, by the platform."""
MAX_UNLISTED_SECONDS = 15.0
"""How long a member whose entry lapsed is still counted, while its group works."""
MIN_OUTAGE_SECONDS = 0.6
"""The store's longest silence after which missing entries count as gone at once."""


@dataclasses.dataclass(slots=True, frozen=True)
class Unlisted:
    """A member whose entry lapsed.

    :ivar lapsed_at: when it did.
    """

    target: target.Target
    lapsed_at: float


@dataclasses.dataclass(slots=True)
class Registry:
    """The list as last seen.

    :ivar revision: of the list; 0 before the first one.
    :ivar last_models: model of each target's last group, by id and incarnation.
    :ivar presumed_alive_until: ids that are missing since an outage, and until when they count as
        alive.
    :ivar grace_until: end of the time in which a missing entry may only have lapsed.
    :ivar unlisted: members of open groups whose entries lapsed; a member that is cut off from
        the store alone goes on working.
    :ivar change_count: counts changes, for those who cache what they derive.
    """

    targets: dict[str, target.Target] = dataclasses.field(default_factory=dict)
    revision: int = 0
    last_models: dict[tuple[str, int], str] = dataclasses.field(default_factory=dict)
    presumed_alive_until: dict[str, float] = dataclasses.field(default_factory=dict)
    grace_until: float = 0.0
    unlisted: dict[str, Unlisted] = dataclasses.field(default_factory=dict)
    change_count: int = 0


def record_store_recovery(state: Registry, silent_seconds: float, now: float) -> None:
    """Take in that the store answers again after a silence."""
    if silent_seconds >= MIN_OUTAGE_SECONDS:
        state.grace_until = now + RECOVERY_GRACE_SECONDS


def replace_all(
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
    over = [one for one, until in state.presumed_alive_until.items() if now >= until]
    for one in over:
        del state.presumed_alive_until[one]
        _drop(state, one, now)
    for kept in list(state.unlisted.values()):
        if now >= kept.lapsed_at + MAX_UNLISTED_SECONDS or not _has_open_head(state, kept.target):
            drop_unlisted(state, kept.target.id)
    return over


def drop_unlisted(state: Registry, target_id: str) -> None:
    """Stop counting a member whose entry lapsed."""
    if state.unlisted.pop(target_id, None) is not None:
        state.change_count += 1


def list_members(state: Registry) -> list[target.Target]:
    """Return all that may be members of groups, whether still listed or not."""
    return [*state.targets.values(), *(one.target for one in state.unlisted.values())]


def _drop(state: Registry, target_id: str, now: float) -> None:
    gone = state.targets.pop(target_id, None)
    if gone is None:
        return
    state.change_count += 1
    held = gone.membership
    # A head gets requests, which the platform forbids once its entry is gone.
    is_member = held is not None and held.rank > 0 and not gone.is_leaving
    if is_member and _has_open_head(state, gone):
        state.unlisted[target_id] = Unlisted(gone, now)
    else:
        state.last_models.pop((gone.id, gone.incarnation), None)


def _has_open_head(state: Registry, one: target.Target) -> bool:
    held = one.membership
    return held is not None and any(
        other.membership is not None
        and other.membership.rank == 0
        and other.membership.state is target.GroupState.OPEN
        and (other.membership.group, other.membership.epoch) == (held.group, held.epoch)
        for other in state.targets.values()
    )


def _put(state: Registry, one: target.Target) -> None:
    state.presumed_alive_until.pop(one.id, None)
    state.unlisted.pop(one.id, None)
    if state.targets.get(one.id) == one:
        return
    state.targets[one.id] = one
    state.change_count += 1
    if one.model:
        state.last_models[(one.id, one.incarnation)] = one.model


def _remove(state: Registry, target_id: str, now: float) -> bool:
    if target_id not in state.targets:
        return False
    if now < state.grace_until:
        state.presumed_alive_until.setdefault(target_id, state.grace_until)
        return False
    state.presumed_alive_until.pop(target_id, None)
    _drop(state, target_id, now)
    return True
