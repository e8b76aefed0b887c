"""Tracks which targets may be used, from the platform's list and its changes."""

from __future__ import annotations

import dataclasses
from collections import abc

import msgspec

from galenavane.fleet import group_index, target

RECOVERY_GRACE_SECONDS = 2.0
"""Time after an outage within which the platform lists targets again whose records lapsed in it."""
MAX_UNLISTED_SECONDS = 15.0
"""How long a member whose record lapsed still counts, while its group works."""
MIN_OUTAGE_SECONDS = 0.6
"""Silence of the store from which on it counts as an outage; after a shorter one, targets with
missing records count as gone at once."""


MAX_LEAVING = 10_000
"""Targets that have said that they leave are forgotten beyond this number, the oldest first."""


@dataclasses.dataclass(slots=True, frozen=True)
class Unlisted:
    """A member whose record lapsed.

    :ivar lapsed_at: monotonic time in seconds of the lapse.
    """

    target: target.Target
    lapsed_at: float


@dataclasses.dataclass(slots=True)
class Registry:
    """The platform's list of targets as last received; times are monotonic seconds.

    :ivar targets: listed targets by id.
    :ivar revision: revision of the list; 0 before the first one.
    :ivar last_models: model of each target's last group, by id and incarnation.
    :ivar presumed_alive_until: ids of targets that are missing since an outage, and until when
        they count as alive.
    :ivar grace_until: time until which a missing record may just have lapsed in an outage.
    :ivar unlisted: members of open groups whose records lapsed, by id. A member that has lost
        only its connection to the store still works.
    :ivar leaving: id and incarnation of the targets that have said themselves that they leave,
        whatever their records say.
    :ivar index: groups that the listed and the unlisted targets form.
    """

    targets: dict[str, target.Target] = dataclasses.field(default_factory=dict)
    revision: int = 0
    last_models: dict[tuple[str, int], str] = dataclasses.field(default_factory=dict)
    presumed_alive_until: dict[str, float] = dataclasses.field(default_factory=dict)
    grace_until: float = 0.0
    unlisted: dict[str, Unlisted] = dataclasses.field(default_factory=dict)
    leaving: dict[tuple[str, int], None] = dataclasses.field(default_factory=dict)
    index: group_index.GroupIndex = dataclasses.field(default_factory=group_index.GroupIndex)


def record_store_recovery(registry: Registry, silent_seconds: float, now: float) -> None:
    """Record that the store answers again after a silence."""
    if silent_seconds >= MIN_OUTAGE_SECONDS:
        registry.grace_until = now + RECOVERY_GRACE_SECONDS


def replace_all(
    registry: Registry, listed_targets: abc.Sequence[target.Target], revision: int, now: float
) -> list[str]:
    """Replace the list; return the ids of the targets that are gone.

    A list that is no newer than the current one is ignored: its records may be older than the
    reports that some of them were replaced by.
    """
    if 0 < registry.revision >= revision:
        return []
    registry.revision = revision
    for listed in listed_targets:
        _put(registry, listed)
    listed_ids = {listed.id for listed in listed_targets}
    gone = [target_id for target_id in registry.targets if target_id not in listed_ids]
    return [target_id for target_id in gone if _remove(registry, target_id, now)]


def put(registry: Registry, listed: target.Target) -> None:
    """Add or update the record of a target."""
    _put(registry, listed)


def mark_leaving(registry: Registry, target_id: str, incarnation: int) -> bool:
    """Record that a target has said that it leaves; return whether that is new.

    It holds until its record ends or is that of a new incarnation.
    """
    if (target_id, incarnation) in registry.leaving:
        return False
    registry.leaving[(target_id, incarnation)] = None
    if len(registry.leaving) > MAX_LEAVING:
        del registry.leaving[next(iter(registry.leaving))]
    known = registry.targets.get(target_id)
    if known is not None and known.incarnation == incarnation:
        _put(registry, known)
    return True


def remove(registry: Registry, target_id: str, now: float) -> bool:
    """Record that a target is no longer listed; return whether it counts as gone now."""
    return _remove(registry, target_id, now)


def expire(registry: Registry, now: float) -> list[str]:
    """Drop targets that were not listed again in time after an outage; return their ids.

    Drops unlisted members too once they have been so for too long or their group has no open head.
    """
    expired_ids = [
        target_id for target_id, until in registry.presumed_alive_until.items() if now >= until
    ]
    for target_id in expired_ids:
        del registry.presumed_alive_until[target_id]
        _drop(registry, target_id, now)
    for unlisted in list(registry.unlisted.values()):
        if now >= unlisted.lapsed_at + MAX_UNLISTED_SECONDS or not _has_open_head(
            registry, unlisted.target
        ):
            drop_unlisted(registry, unlisted.target.id)
    return expired_ids


def drop_unlisted(registry: Registry, target_id: str) -> None:
    """Stop counting a member whose record lapsed."""
    unlisted = registry.unlisted.pop(target_id, None)
    if unlisted is not None:
        group_index.discard(registry.index, unlisted.target)


def list_members(registry: Registry) -> list[target.Target]:
    """Return the targets that may be members of groups, listed or unlisted."""
    return [
        *registry.targets.values(),
        *(unlisted.target for unlisted in registry.unlisted.values()),
    ]


def _drop(registry: Registry, target_id: str, now: float) -> None:
    gone = registry.targets.pop(target_id, None)
    if gone is None:
        return
    registry.leaving.pop((gone.id, gone.incarnation), None)
    membership = gone.membership
    # The platform forbids sending requests to a target without a record, so this excludes heads.
    is_member = membership is not None and membership.rank > 0 and not gone.is_leaving
    if is_member and _has_open_head(registry, gone):
        # It stays in the index as a member of its group.
        registry.unlisted[target_id] = Unlisted(gone, now)
    else:
        group_index.discard(registry.index, gone)
        registry.last_models.pop((gone.id, gone.incarnation), None)


def _has_open_head(registry: Registry, listed: target.Target) -> bool:
    return any(
        fellow.id in registry.targets
        and fellow.membership is not None
        and fellow.membership.rank == 0
        and fellow.membership.state is target.GroupState.OPEN
        for fellow in group_index.list_fellows(registry.index, listed)
    )


def _put(registry: Registry, listed: target.Target) -> None:
    registry.presumed_alive_until.pop(listed.id, None)
    drop_unlisted(registry, listed.id)
    if (listed.id, listed.incarnation) in registry.leaving and not listed.is_leaving:
        listed = msgspec.structs.replace(listed, is_leaving=True)
    former = registry.targets.get(listed.id)
    if former == listed:
        return
    if former is not None:
        group_index.discard(registry.index, former)
    registry.targets[listed.id] = listed
    group_index.add(registry.index, listed)
    last_model = listed.last_model or listed.model
    if last_model:
        registry.last_models[(listed.id, listed.incarnation)] = last_model


def _remove(registry: Registry, target_id: str, now: float) -> bool:
    if target_id not in registry.targets:
        return False
    if now < registry.grace_until:
        registry.presumed_alive_until.setdefault(target_id, registry.grace_until)
        return False
    registry.presumed_alive_until.pop(target_id, None)
    _drop(registry, target_id, now)
    return True
