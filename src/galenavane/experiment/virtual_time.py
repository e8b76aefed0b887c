"""A queue of callbacks on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
from collections import abc

Callback = abc.Callable[[], None]


class VirtualTime:
    """Runs callbacks in order of time.

    :ivar now: virtual time in seconds.
    """

    __slots__ = ("_numbers", "_queue", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, Callback]] = []

    def at(self, when: float, callback: Callback) -> None:
        """Run a callback at a time."""
        heapq.heappush(self._queue, (when, next(self._numbers), callback))

    def every(self, seconds: float, first: float, callback: Callback) -> None:
        """Run a callback regularly."""

        def again() -> None:
            callback()
            self.at(self.now + seconds, again)

        self.at(first, again)

    def run(self, until: float) -> None:
        """Run everything that is due before a time."""
        while self._queue and self._queue[0][0] < until:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
