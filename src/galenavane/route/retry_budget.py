"""Bounds the retries of a service to a share of its requests."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.1
MAX_BALANCE = 20.0


class RetryBudget:
    """Retries that a service may still make."""

    __slots__ = ("_balance",)

    def __init__(self) -> None:
        self._balance = MAX_BALANCE

    def earn(self) -> None:
        """Count a first try, which earns a part of a retry."""
        self._balance = min(MAX_BALANCE, self._balance + RETRIES_PER_REQUEST)

    def try_spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
