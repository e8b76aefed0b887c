"""Schedules callbacks on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
from collections import abc

Callback = abc.Callable[[], None]


class VirtualTime:
    """Runs callbacks in order of their times; callbacks of equal times keep their order.

    :ivar now: virtual time in seconds.
    """

    __slots__ = ("_queue", "_sequence_numbers", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence_numbers = itertools.count()
        self._queue: list[tuple[float, int, Callback]] = []

    def schedule_at(self, when: float, callback: Callback) -> None:
        """Run a callback once.

        :param when: virtual time in seconds.
        """
        heapq.heappush(self._queue, (when, next(self._sequence_numbers), callback))

    def schedule_every(self, interval_seconds: float, first_at: float, callback: Callback) -> None:
        """Run a callback periodically.

        :param first_at: virtual time of the first call in seconds.
        """

        def run_and_reschedule() -> None:
            callback()
            self.schedule_at(self.now + interval_seconds, run_and_reschedule)

        self.schedule_at(first_at, run_and_reschedule)

    def run_until(self, until: float) -> None:
        """Run all callbacks that are due before a virtual time in seconds."""
        while self._queue and self._queue[0][0] < until:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
