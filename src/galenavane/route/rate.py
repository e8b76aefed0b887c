"""An events-a-second figure that forgets."""

from __future__ import annotations

import math

MEMORY_SECONDS = 2.0


class Rate:
    """An exponentially decayed rate."""

    __slots__ = ("_at", "_level", "_memory", "_started_at")

    def __init__(self, memory_seconds: float = MEMORY_SECONDS) -> None:
        self._memory = memory_seconds
        self._level = 0.0
        self._at = 0.0
        self._started_at: float | None = None

    def add(self, amount: float, now: float) -> None:
        """Count an amount at a time."""
        if self._started_at is None:
            self._started_at = now
        self._level = self._decayed(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        """Return the rate in amounts a second, right also shortly after the first amount."""
        if self._started_at is None:
            return 0.0
        seen = max(now - self._started_at, 0.1)
        return self._decayed(now) / (self._memory * (1.0 - math.exp(-seen / self._memory)))

    def _decayed(self, now: float) -> float:
        return self._level * math.exp(-max(0.0, now - self._at) / self._memory)
