"""Bounds the retries of a service to a share of its requests."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Retries that a service may still make."""

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count a first try, which earns a part of a retry."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRIES_PER_REQUEST)

    def try_spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
