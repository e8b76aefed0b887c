"""Limits the memory that bodies take together while they are kept."""

from __future__ import annotations

import contextlib
from collections import abc


class Budget:
    """Memory for the bodies of one kind.

    :ivar limit_bytes: size of all of them together.
    :ivar used_bytes: size of those that are kept now.
    """

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    @contextlib.contextmanager
    def reserve(self) -> abc.Iterator[Reservation]:
        """Return an empty reservation, which is given back at the end."""
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            reservation.clear()


class Reservation:
    """What one body takes of a budget.

    :ivar held_bytes: its size so far.
    """

    __slots__ = ("_budget", "held_bytes")

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self.held_bytes = 0

    def grow(self, size: int) -> bool:
        """Reserve more memory; return whether that was possible.

        A body may take as much as remains for all others, so that small ones find room beside
        those that grow without end.
        """
        free_bytes = self._budget.limit_bytes - self._budget.used_bytes - size
        if self.held_bytes + size > free_bytes:
            return False
        self.held_bytes += size
        self._budget.used_bytes += size
        return True

    def clear(self) -> None:
        """Give back all of it."""
        self._budget.used_bytes -= self.held_bytes
        self.held_bytes = 0
