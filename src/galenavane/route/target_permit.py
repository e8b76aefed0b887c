"""Says whether requests may be sent to a target now, and if not, until when and why not."""

from __future__ import annotations

import enum
import math
from collections import abc

import msgspec

from galenavane.fleet import target, target_registry

MAX_WAIT_SECONDS = 3600.0
"""A target that asks for a longer time is left alone for this long at a time."""


class Reason(enum.StrEnum):
    """Why a target is not sent requests."""

    NOT_LISTED = "not listed"
    LEAVING = "leaving"
    ASKED_TO_WAIT = "asked to wait"
    SUSPECTED = "suspected"
    PAUSED = "paused"


_BINDING = (Reason.NOT_LISTED, Reason.LEAVING, Reason.ASKED_TO_WAIT)


class Permit(msgspec.Struct, frozen=True):
    """Whether a target may be sent requests.

    :ivar reason: why not, ``None`` if it may.
    :ivar until: monotonic time in seconds up to which the reason holds.
    """

    reason: Reason | None = None
    until: float = 0.0

    @property
    def is_binding(self) -> bool:
        """Whether no request may be sent, also if there is no other target."""
        return self.reason in _BINDING


_ALLOWED = Permit()


class Wait(msgspec.Struct, frozen=True):
    """A target's wish to be left alone.

    :ivar incarnation: the start of the target that asked for it.
    :ivar until: monotonic time in seconds.
    """

    incarnation: int
    until: float


def decide(
    destination: target.Target,
    registry: target_registry.Registry,
    waits: abc.Mapping[str, Wait],
    suspected_until: float,
    is_paused: bool,
    now: float,
) -> Permit:
    """Return whether a target may be sent requests.

    :param destination: the target as it was chosen.
    :param waits: wishes to be left alone, by target.
    :param suspected_until: until when the target is avoided.
    :param is_paused: whether it has answered no attempt to connect lately.
    """
    known = registry.targets.get(destination.id)
    if known is None or known.address != destination.address:
        return Permit(Reason.NOT_LISTED, math.inf)
    if known.is_leaving:
        return Permit(Reason.LEAVING, math.inf)
    wait = waits.get(destination.id)
    if wait is not None and wait.incarnation == known.incarnation and now < wait.until:
        return Permit(Reason.ASKED_TO_WAIT, wait.until)
    if now < suspected_until:
        return Permit(Reason.PAUSED if is_paused else Reason.SUSPECTED, suspected_until)
    return _ALLOWED


def record_wait(
    waits: dict[str, Wait], target_id: str, incarnation: int, seconds: float, now: float
) -> None:
    """Record that a target asks to be left alone, and forget those whose time is over."""
    for known_id in [known_id for known_id, wait in waits.items() if wait.until <= now]:
        del waits[known_id]
    waits[target_id] = Wait(incarnation, now + min(seconds, MAX_WAIT_SECONDS))


def describe(permits: abc.Iterable[Permit]) -> str:
    """Return how many targets are not sent requests for which reason, as text."""
    counts: dict[Reason, int] = {}
    for permit in permits:
        if permit.reason is not None:
            counts[permit.reason] = counts.get(permit.reason, 0) + 1
    return ", ".join(f"{count} {reason}" for reason, count in sorted(counts.items()))
