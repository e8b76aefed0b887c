"""Splits a stream's body into whole events."""

from __future__ import annotations

import msgspec

MAX_EVENT_BYTES = 1_000_000
_SEPARATOR = b"\n\n"


class Event(msgspec.Struct, frozen=True):
    """One event as its target sent it.

    :ivar number: its id; 0 when it has none that is a number.
    """

    number: int
    data: bytes


class EventSplitter:
    """Collects bytes until events are whole."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now.

        :raises ValueError: when an event is too large to be one.
        """
        self._buffer += data
        events: list[Event] = []
        while (end := self._buffer.find(_SEPARATOR)) >= 0:
            event_bytes = bytes(self._buffer[: end + len(_SEPARATOR)])
            del self._buffer[: end + len(_SEPARATOR)]
            events.append(Event(_parse_id(event_bytes), event_bytes))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        return events

    @property
    def is_empty(self) -> bool:
        """Whether no part of an event is left."""
        return not self._buffer


def _parse_id(event_bytes: bytes) -> int:
    for line in event_bytes.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else 0
    return 0
