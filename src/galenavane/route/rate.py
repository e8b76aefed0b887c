"""Measures a rate per second with exponential decay."""

from __future__ import annotations

import math

TIME_CONSTANT_SECONDS = 2.0


class Rate:
    """An exponentially decayed rate."""

    __slots__ = ("_level", "_started_at", "_time_constant", "_updated_at")

    def __init__(self, time_constant_seconds: float = TIME_CONSTANT_SECONDS) -> None:
        self._time_constant = time_constant_seconds
        self._level = 0.0
        self._updated_at = 0.0
        self._started_at: float | None = None

    def add(self, amount: float, now: float) -> None:
        """Count an amount that occurred now."""
        if self._started_at is None:
            self._started_at = now
        self._level = self._decayed(now) + amount
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the rate per second, corrected for the short time since the first amount."""
        if self._started_at is None:
            return 0.0
        observed_seconds = max(now - self._started_at, 0.1)
        return self._decayed(now) / (
            self._time_constant * (1.0 - math.exp(-observed_seconds / self._time_constant))
        )

    def _decayed(self, now: float) -> float:
        return self._level * math.exp(-max(0.0, now - self._updated_at) / self._time_constant)
