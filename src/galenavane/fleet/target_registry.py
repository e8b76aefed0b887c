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


def record_store_recovery(registry: Registry, silent_seconds: float, now: float) -> None:
    """Take in that the store answers again after a silence."""
    if silent_seconds >= MIN_OUTAGE_SECONDS:
        registry.grace_until = now + RECOVERY_GRACE_SECONDS


def replace_all(
    registry: Registry, listed_targets: abc.Sequence[target.Target], revision: int, now: float
) -> list[str]:
    """Take in a whole list; return the ids that are no longer listed.

    A list that is older than the one known is ignored.
    """
    if revision < registry.revision:
        return []
    registry.revision = revision
    for listed in listed_targets:
        _put(registry, listed)
    listed_ids = {listed.id for listed in listed_targets}
    gone = [target_id for target_id in registry.targets if target_id not in listed_ids]
    return [target_id for target_id in gone if _remove(registry, target_id, now)]


def put(registry: Registry, listed: target.Target) -> None:
    """Take in a new or changed entry."""
    _put(registry, listed)


def remove(registry: Registry, target_id: str, now: float) -> bool:
    """Take in that an entry is gone; return whether its target counts as gone now."""
    return _remove(registry, target_id, now)


def expire(registry: Registry, now: float) -> list[str]:
    """Drop targets whose entries did not come back after an outage; return their ids."""
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
    """Stop counting a member whose entry lapsed."""
    if registry.unlisted.pop(target_id, None) is not None:
        registry.change_count += 1


def list_members(registry: Registry) -> list[target.Target]:
    """Return all that may be members of groups, whether still listed or not."""
    return [
        *registry.targets.values(),
        *(unlisted.target for unlisted in registry.unlisted.values()),
    ]


def _drop(registry: Registry, target_id: str, now: float) -> None:
    gone = registry.targets.pop(target_id, None)
    if gone is None:
        return
    registry.change_count += 1
    membership = gone.membership
    # A head gets requests, which the platform forbids once its entry is gone.
    is_member = membership is not None and membership.rank > 0 and not gone.is_leaving
    if is_member and _has_open_head(registry, gone):
        registry.unlisted[target_id] = Unlisted(gone, now)
    else:
        registry.last_models.pop((gone.id, gone.incarnation), None)


def _has_open_head(registry: Registry, listed: target.Target) -> bool:
    membership = listed.membership
    return membership is not None and any(
        other.membership is not None
        and other.membership.rank == 0
        and other.membership.state is target.GroupState.OPEN
        and (other.membership.group, other.membership.epoch) == (membership.group, membership.epoch)
        for other in registry.targets.values()
    )


def _put(registry: Registry, listed: target.Target) -> None:
    registry.presumed_alive_until.pop(listed.id, None)
    registry.unlisted.pop(listed.id, None)
    if registry.targets.get(listed.id) == listed:
        return
    registry.targets[listed.id] = listed
    registry.change_count += 1
    if listed.model:
        registry.last_models[(listed.id, listed.incarnation)] = listed.model


def _remove(registry: Registry, target_id: str, now: float) -> bool:
    if target_id not in registry.targets:
        return False
    if now < registry.grace_until:
        registry.presumed_alive_until.setdefault(target_id, registry.grace_until)
        return False
    registry.presumed_alive_until.pop(target_id, None)
    _drop(registry, target_id, now)
    return True
