"""State of one relayed stream: non-blocking reads and writes, and the deadline."""

from __future__ import annotations

import os

import h11
import trio

from galenavane.net import disconnect, http_connection, stream_filter, transport_error

READ_SIZE_BYTES = 16384
MAX_PIPELINED_BYTES = 65536


class RelayStream:
    """A relayed stream between two sockets.

    :ivar source: file descriptor to read from.
    :ivar sink: file descriptor to write to.
    :ivar unsent: output that the sink has not accepted; the source is not read until it is empty.
    :ivar deadline: monotonic time in seconds at which the stream times out.
    :ivar ended: set when the stream has ended.
    :ivar error: why the stream ended; ``None`` when it is complete.
    """

    __slots__ = (
        "_chunk_filter",
        "_deadlines",
        "_machine",
        "_pipelined",
        "_read_timeout_seconds",
        "deadline",
        "ended",
        "error",
        "sink",
        "source",
        "unsent",
    )

    def __init__(
        self,
        source: int,
        sink: int,
        machine: h11.Connection,
        chunk_filter: stream_filter.StreamFilter,
        deadlines: stream_filter.Deadlines,
        now: float,
    ) -> None:
        self.source = source
        self.sink = sink
        self.unsent = b""
        self.ended = trio.Event()
        self.error: Exception | None = None
        self._machine = machine
        self._chunk_filter = chunk_filter
        self._deadlines = deadlines
        self._pipelined = 0
        self._read_timeout_seconds = deadlines.first_seconds
        self.deadline = now + self._read_timeout_seconds

    def start(self, now: float) -> None:
        """Relay bytes that were received together with the response head."""
        try:
            output = self._chunk_filter.start(now)
        except Exception as exc:
            self.end(exc)
            return
        self._send_output(output, now)

    def read_source(self, now: float) -> None:
        """Read once from the source and send the filter's output."""
        try:
            data = os.read(self.source, READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            kind = transport_error.Kind.RESET
            self.end(transport_error.TransportError(kind, True, str(exc)))
            return
        try:
            output = self._chunk_filter.feed(data, now)
        except Exception as exc:
            # An unexpected exception ends this stream, but must not end the shared task.
            self.end(exc)
            return
        self._read_timeout_seconds = self._deadlines.progress_seconds
        self.deadline = now + self._read_timeout_seconds
        self._send_output(output, now)

    def _send_output(self, output: bytes, now: float) -> None:
        if output:
            self.unsent = output
            self.flush(now)
            if self.unsent:
                self.deadline = now + self._deadlines.write_seconds
        elif self._chunk_filter.is_done:
            self.end(self._chunk_filter.error)

    def flush(self, now: float) -> None:
        """Write as much output as the sink accepts without blocking."""
        try:
            sent = os.write(self.sink, self.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.end(disconnect.DisconnectError())
            return
        self.unsent = self.unsent[sent:]
        if self.unsent:
            if sent:
                self.deadline = now + self._deadlines.write_seconds
        elif self._chunk_filter.is_done:
            self.end(self._chunk_filter.error)
        else:
            self.deadline = now + self._read_timeout_seconds

    def read_sink(self) -> None:
        """Detect that the client disconnected; keep the bytes of a pipelined request."""
        try:
            data = os.read(self.sink, READ_SIZE_BYTES)
            self._machine.receive_data(data)
        except BlockingIOError:
            return
        except (OSError, h11.RemoteProtocolError):
            data = b""
        self._pipelined += len(data)
        if not data or self._pipelined > MAX_PIPELINED_BYTES:
            self.end(disconnect.DisconnectError())

    def expire(self) -> None:
        """End the stream because its deadline has passed."""
        if self.unsent:
            self.end(disconnect.DisconnectError())
            return
        text = f"the target sent nothing for {self._read_timeout_seconds} s"
        self.end(transport_error.TransportError(transport_error.Kind.SILENT, True, text))

    def end(self, error: Exception | None) -> None:
        """End the stream and wake the waiting task."""
        self.error = error
        self.ended.set()


def make(
    source: trio.SocketStream,
    sink: http_connection.HttpConnection,
    chunk_filter: stream_filter.StreamFilter,
    deadlines: stream_filter.Deadlines,
    now: float,
) -> RelayStream:
    """Return the state of a new stream between two sockets."""
    assert isinstance(sink.stream, trio.SocketStream)
    return RelayStream(
        source.socket.fileno(),
        sink.stream.socket.fileno(),
        sink.machine,
        chunk_filter,
        deadlines,
        now,
    )
