"""How many requests a group may have in flight, learned from first-token times."""

from __future__ import annotations

import dataclasses
from collections import abc

SLOW_FACTOR = 3.0
SLACK_SECONDS = 0.5
DECREASE = 0.85
INCREASE = 0.05
MIN_SHARE = 0.25
MAX_SHARE = 1.05
COOL_DOWN_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class _Learned:
    """Share of a group's capacity that is used, and when it was last lowered."""

    share: float = MAX_SHARE
    lowered_at: float = float("-inf")


class Concurrency:
    """Learned limits by group name."""

    __slots__ = ("_learned",)

    def __init__(self) -> None:
        self._learned: dict[str, _Learned] = {}

    def limit(self, group: str, capacity: int) -> float:
        """Return below how many requests in flight a further one may be sent."""
        learned = self._learned.get(group)
        return max(1.0, capacity * (learned.share if learned else MAX_SHARE))

    def observe(self, group: str, predicted: float, first_token: float | None, now: float) -> None:
        """Take in a first-token time in seconds, ``None`` for a failure."""
        learned = self._learned.setdefault(group, _Learned())
        if first_token is not None and first_token <= SLOW_FACTOR * predicted + SLACK_SECONDS:
            learned.share = min(MAX_SHARE, learned.share + INCREASE)
        elif now - learned.lowered_at >= COOL_DOWN_SECONDS:
            learned.share = max(MIN_SHARE, learned.share * DECREASE)
            learned.lowered_at = now

    def retain(self, groups: abc.Container[str]) -> None:
        """Forget all groups but those given."""
        for name in [name for name in self._learned if name not in groups]:
            del self._learned[name]
