"""Writes log lines to a file descriptor without blocking on its reader."""

from __future__ import annotations

import collections
import os
import typing

import msgspec

MAX_QUEUED_LINES = 4_000
"""About 1 MB of lines, for a reader that falls behind for some seconds."""


class LogSink:
    """A bounded queue of lines for a non-blocking descriptor.

    :ivar dropped: number of lines dropped because the queue was full or the reader was gone.
    """

    __slots__ = ("_descriptor", "_lines", "_unwritten", "dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self.dropped = 0

    def __call__(self, log_message: dict[str, typing.Any]) -> None:
        """Queue one log message; eliot calls this as a destination."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(msgspec.json.encode(log_message, enc_hook=str) + b"\n")

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        if not self._unwritten and self._lines:
            self._unwritten = b"".join(self._lines)
            self._lines.clear()
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; the lines are dropped and counted.
                self.dropped += self._unwritten.count(b"\n")
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]


def open_sink(descriptor: int) -> LogSink:
    """Make a descriptor non-blocking and return a sink that writes to it."""
    os.set_blocking(descriptor, False)
    return LogSink(descriptor)
