"""A hybrid logical clock, which orders the events of several processes causally."""

from __future__ import annotations

from collections import abc

import msgspec


class Stamp(msgspec.Struct, frozen=True, order=True):
    """A timestamp of the hybrid logical clock; timestamps compare in causal order.

    :ivar wall_ms: wall-clock time in milliseconds; never decreases on a process.
    :ivar count: order among the events of one millisecond.
    """

    wall_ms: int
    count: int

    def __str__(self) -> str:
        """Return the text form, ``WALL_MS.COUNT``."""
        return f"{self.wall_ms}.{self.count:04d}"


MAX_AHEAD_MS = 60_000


class Clock:
    """The hybrid logical clock of one process."""

    __slots__ = ("_last", "_wall")

    def __init__(self, wall: abc.Callable[[], float]) -> None:
        self._wall = wall
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return the stamp of a new local event."""
        return self._advance(Stamp(0, 0))

    def receive(self, remote: Stamp) -> Stamp:
        """Return the stamp of an event caused by a message with a remote stamp.

        A stamp more than ``MAX_AHEAD_MS`` ahead of the wall clock is ignored, so that no sender can
        push this clock far into the future.
        """
        if remote.wall_ms > int(self._wall() * 1000) + MAX_AHEAD_MS:
            return self.tick()
        return self._advance(remote)

    def _advance(self, remote: Stamp) -> Stamp:
        wall_ms = int(self._wall() * 1000)
        latest = max(self._last, remote)
        self._last = (
            Stamp(wall_ms, 0)
            if wall_ms > latest.wall_ms
            else Stamp(latest.wall_ms, latest.count + 1)
        )
        return self._last


def parse(text: str) -> Stamp | None:
    """Parse a stamp from a header or a log line; ``None`` when it is malformed."""
    wall_text, _, count_text = text.partition(".")
    if not (wall_text.isdigit() and count_text.isdigit()):
        return None
    return Stamp(int(wall_text), int(count_text))
