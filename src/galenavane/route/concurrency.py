"""Adapts each group's limit of requests in flight to its times to first token."""

from __future__ import annotations

import dataclasses
from collections import abc

SLOW_FACTOR = 3.0
SLACK_SECONDS = 0.5
DECREASE_FACTOR = 0.85
INCREASE_STEP = 0.05
MIN_SHARE = 0.25
MAX_SHARE = 1.05
COOL_DOWN_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class _GroupLimit:
    """Share of a group's capacity that may be used, and the time of its last decrease."""

    share: float = MAX_SHARE
    lowered_at: float = float("-inf")


class ConcurrencyLimits:
    """Limits by group name, with additive increase and multiplicative decrease."""

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: dict[str, _GroupLimit] = {}

    def limit(self, group: str, capacity: int) -> float:
        """Return the number of requests in flight below which a group may get another one."""
        group_limit = self._limits.get(group)
        return max(1.0, capacity * (group_limit.share if group_limit else MAX_SHARE))

    def observe(
        self, group: str, predicted_seconds: float, first_token_seconds: float | None, now: float
    ) -> None:
        """Adjust a group's limit after a request.

        :param predicted_seconds: predicted time to first token.
        :param first_token_seconds: measured time to first token, ``None`` for a failure.
        """
        group_limit = self._limits.setdefault(group, _GroupLimit())
        if (
            first_token_seconds is not None
            and first_token_seconds <= SLOW_FACTOR * predicted_seconds + SLACK_SECONDS
        ):
            group_limit.share = min(MAX_SHARE, group_limit.share + INCREASE_STEP)
        elif now - group_limit.lowered_at >= COOL_DOWN_SECONDS:
            group_limit.share = max(MIN_SHARE, group_limit.share * DECREASE_FACTOR)
            group_limit.lowered_at = now

    def retain(self, groups: abc.Container[str]) -> None:
        """Drop the limits of all groups except those given."""
        for name in [name for name in self._limits if name not in groups]:
            del self._limits[name]
