"""Keeps instances that fail repeatedly out of groups for a growing time."""

from __future__ import annotations

import dataclasses
import math
from collections import abc

from galenavane.control import condition, instance_status

FIRST_HOLD_SECONDS = 15.0
MAX_HOLD_SECONDS = 600.0
FORGET_SECONDS = 3600.0


@dataclasses.dataclass(slots=True)
class _History:
    incarnation: str
    is_responsive: bool = True
    losses: int = 0
    lost_at: float = float("-inf")


class State:
    """Failure history of each instance, kept by the lease holder."""

    __slots__ = ("histories",)

    def __init__(self) -> None:
        self.histories: dict[str, _History] = {}


def update(
    state: State, statuses: abc.Mapping[str, instance_status.InstanceStatus], now: float
) -> frozenset[str]:
    """Update the histories; return the names of the instances to hold back."""
    for name, status in statuses.items():
        if status.report is not None:
            history = state.histories.setdefault(name, _History(status.report.incarnation))
            _update(history, status.report.incarnation, condition.is_responsive(status, now), now)
    return frozenset(
        name
        for name, history in state.histories.items()
        if now < history.lost_at + compute_hold_seconds(history.losses)
    )


def find_next_release(state: State, now: float) -> float:
    """Return when the next held-back instance is released; infinity when none is held back."""
    ends = [
        history.lost_at + compute_hold_seconds(history.losses)
        for history in state.histories.values()
    ]
    return min((end for end in ends if end > now), default=math.inf)


def compute_hold_seconds(losses: int) -> float:
    """Return for how long an instance is held back after its losses; the first loss has no hold."""
    if losses < 2:
        return 0.0
    return float(min(MAX_HOLD_SECONDS, FIRST_HOLD_SECONDS * 2 ** (losses - 2)))


def _update(history: _History, incarnation: str, is_responsive: bool, now: float) -> None:
    is_lost = history.is_responsive and (not is_responsive or incarnation != history.incarnation)
    if now - history.lost_at > FORGET_SECONDS:
        history.losses = 0
    if is_lost:
        history.losses += 1
        history.lost_at = now
    history.incarnation = incarnation
    history.is_responsive = is_responsive
