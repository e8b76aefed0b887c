"""Filters a target's token stream for its caller, without doing any I/O."""

from __future__ import annotations

from collections import abc

import h11
import msgspec

from galenavane import invariant
from galenavane.net import transport_error
from galenavane.serve import stream_state
from galenavane.target import completion

DONE = b"[DONE]"
_SEPARATOR = b"\n\n"
_DATA_PREFIX = b"data: "
_CHUNK_TAIL = b"\r\n"

Frame = abc.Callable[[bytes], bytes]

_chunk_decoder = msgspec.json.Decoder(completion.PartialChunk)


class CompletionFilter:
    """Filter for one try of a stream; implements ``stream_filter.StreamFilter``.

    It checks that each token belongs to the request and drops tokens that were already delivered.

    :ivar is_done: whether the stream has ended, complete or not.
    :ivar error: why the stream ended early; ``None`` when it is complete.
    """

    __slots__ = ("_buffer", "_frame", "_output", "_source", "_state", "error", "is_done")

    def __init__(
        self, source: h11.Connection, state: stream_state.StreamState, frame: Frame | None
    ) -> None:
        self._source = source
        self._state = state
        self._frame = frame
        self._buffer = b""
        self._output = b""
        self.is_done = False
        self.error: Exception | None = None

    def start(self, now: float) -> bytes:
        """Return the output for events that were received together with the response head."""
        return self.feed(b"", now, False)

    def feed(self, data: bytes, now: float, is_read: bool = True) -> bytes:
        """Process bytes from the target's connection.

        :param data: bytes that were read; empty at the end of the stream.
        :param now: monotonic time in seconds.
        :param is_read: ``False`` to process only what the HTTP parser has already buffered.
        :returns: bytes to write to the caller's connection.
        """
        self._output = b""
        try:
            if is_read:
                self._source.receive_data(data)
            self._read_events(now)
        except h11.RemoteProtocolError as exc:
            self._break_off(_make_reset_error(str(exc)))
        except msgspec.DecodeError as exc:
            self._break_off(_make_reset_error(f"invalid event: {exc}"))
        except (transport_error.TransportError, invariant.ViolationError) as exc:
            self._break_off(exc)
        if not self._output or self._frame is None:
            return b""
        return self._frame(self._output)

    def _break_off(self, error: Exception) -> None:
        self.is_done = True
        self.error = error

    def _read_events(self, now: float) -> None:
        source = self._source
        while not self.is_done:
            event = source.next_event()
            if event is h11.NEED_DATA:
                return
            if not isinstance(event, h11.Data):
                raise _make_reset_error("the target's stream ended early")
            self._split_events(bytes(event.data), now)
            # Only the CRLF after this chunk is buffered, which can wait for the next read.
            if event.chunk_end and source.trailing_data[0] == _CHUNK_TAIL:
                return

    def _split_events(self, data: bytes, now: float) -> None:
        """Add the new events in some bytes to the output."""
        end = data.find(_SEPARATOR)
        if not self._buffer and end >= 0 and end + len(_SEPARATOR) == len(data):
            if self._accept_event(data[:end], now):
                self._output = self._output + data if self._output else data
            return
        parts = (self._buffer + data).split(_SEPARATOR)
        self._buffer = parts.pop()
        for part in parts:
            if self._accept_event(part, now):
                self._output += part + _SEPARATOR

    def _accept_event(self, event: bytes, now: float) -> bool:
        """Process one event; return whether it must be sent to the caller."""
        if self.is_done or not event.startswith(_DATA_PREFIX):
            return False
        content = event[len(_DATA_PREFIX) :]
        if content == DONE:
            self.is_done = True
            return False
        return self._state.accept_chunk(_chunk_decoder.decode(content), now)


def _make_reset_error(text: str) -> transport_error.TransportError:
    return transport_error.TransportError(transport_error.Kind.RESET, True, text)
