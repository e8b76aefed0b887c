"""Bounds how many loads from the weight store are begun."""

from __future__ import annotations

BURST_LOADS = 4.0
RATE_SHARE = 0.7
"""Part of the store's rate that one holder uses; a successor may begin with a full burst."""


class LoadBudget:
    """Loads that may begin now."""

    __slots__ = ("_at", "_credit")

    def __init__(self) -> None:
        self._credit = BURST_LOADS
        self._at = 0.0

    def spend(self, loads_per_second: float, now: float) -> bool:
        """Take one load; return whether there was one."""
        passed = max(0.0, now - self._at)
        self._at = now
        self._credit = min(BURST_LOADS, self._credit + passed * loads_per_second * RATE_SHARE)
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
