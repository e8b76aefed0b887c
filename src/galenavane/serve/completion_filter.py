"""Turns what a target streams into what its caller gets; makes no input or output."""

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
    """One try of a stream; implements ``pump.Pump``.

    :ivar is_done: the target has ended the answer, or broken it off.
    :ivar error: why it was broken off, ``None`` for a whole answer.
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
        """Return what is to be sent for events that came along with the head."""
        return self.feed(b"", now, False)

    def feed(self, data: bytes, now: float, is_read: bool = True) -> bytes:
        """Take in bytes of the target's connection; return bytes for the caller's."""
        self._output = b""
        try:
            if is_read:
                self._source.receive_data(data)
            self._read_events(now)
        except h11.RemoteProtocolError as exc:
            self._break_off(_make_reset_error(str(exc)))
        except msgspec.DecodeError as exc:
            self._break_off(_make_reset_error(f"damaged chunk: {exc}"))
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
            # Only the end of this chunk is left, which can wait for the next read.
            if event.chunk_end and source.trailing_data[0] == _CHUNK_TAIL:
                return

    def _split_events(self, data: bytes, now: float) -> None:
        """Collect the new events of some bytes, as the caller gets them."""
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
        """Take in one event; return whether its caller has to get it."""
        if self.is_done or not event.startswith(_DATA_PREFIX):
            return False
        content = event[len(_DATA_PREFIX) :]
        if content == DONE:
            self.is_done = True
            return False
        return self._state.accept_chunk(_chunk_decoder.decode(content), now)


def _make_reset_error(text: str) -> transport_error.TransportError:
    return transport_error.TransportError(transport_error.Kind.RESET, True, text)
