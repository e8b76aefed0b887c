"""Writes log lines to a file descriptor without ever waiting for its reader."""

from __future__ import annotations

import collections
import os
import typing

import msgspec

MAX_QUEUED_LINES = 4_000
"""About 1 MB of lines, for a reader that is slow for some seconds."""


class LogSink:
    """A bounded queue of lines before a descriptor that does not block.

    :ivar dropped: lines left out because the queue was full.
    """

    __slots__ = ("_descriptor", "_lines", "_unwritten", "dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self.dropped = 0

    def __call__(self, log_message: dict[str, typing.Any]) -> None:
        """Take one log message, as an eliot destination."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(msgspec.json.encode(log_message, enc_hook=str) + b"\n")

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        if not self._unwritten and self._lines:
            self._unwritten = b"".join(self._lines)
            self._lines.clear()
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the lines are lost and counted.
                self.dropped += self._unwritten.count(b"\n")
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]


def open_sink(descriptor: int) -> LogSink:
    """Return a sink over a descriptor, which is set not to block."""
    os.set_blocking(descriptor, False)
    return LogSink(descriptor)
