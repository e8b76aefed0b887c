"""Limits the rate at which loads from the weight store begin."""

from __future__ import annotations

BURST_LOADS = 4.0
RATE_SHARE = 0.7
"""Part of the store's rate that one lease holder uses, since its successor may start with a full
burst."""


class LoadBudget:
    """Token bucket of loads that may begin."""

    __slots__ = ("_tokens", "_updated_at")

    def __init__(self) -> None:
        self._tokens = BURST_LOADS
        self._updated_at = 0.0

    def try_take(self, loads_per_second: float, now: float) -> bool:
        """Take one load if there is one; return whether there was."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._tokens = min(BURST_LOADS, self._tokens + elapsed * loads_per_second * RATE_SHARE)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
