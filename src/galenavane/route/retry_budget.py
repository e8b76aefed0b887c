"""Limits the retries of a service to a share of its requests."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.1
MAX_BALANCE = 20.0


class RetryBudget:
    """Balance of the retries that a service may still make."""

    __slots__ = ("_balance",)

    def __init__(self) -> None:
        self._balance = MAX_BALANCE

    def earn(self) -> None:
        """Credit a first attempt, which earns a fraction of a retry."""
        self._balance = min(MAX_BALANCE, self._balance + RETRIES_PER_REQUEST)

    def try_spend(self) -> bool:
        """Take one retry from the balance; return whether one was left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
