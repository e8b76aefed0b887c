"""Splits the body of a server-sent event stream into complete events."""

from __future__ import annotations

import msgspec

MAX_EVENT_BYTES = 262_144
"""Far above the size of an event; bounds what an unfinished one of each stream takes in memory."""
_SEPARATOR = b"\n\n"


class Event(msgspec.Struct, frozen=True):
    """One server-sent event.

    :ivar number: the event's id; 0 when it has no numeric one.
    :ivar data: the event's bytes, including the blank line at its end.
    """

    number: int
    data: bytes


class EventSplitter:
    """Buffers bytes until events are complete."""

    __slots__ = ("_buffer", "_searched")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    def feed(self, data: bytes) -> list[Event]:
        """Buffer bytes and return the events that are now complete.

        :raises ValueError: when an incomplete event exceeds ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        events: list[Event] = []
        while (end := self._buffer.find(_SEPARATOR, self._searched)) >= 0:
            event_bytes = bytes(self._buffer[: end + len(_SEPARATOR)])
            del self._buffer[: end + len(_SEPARATOR)]
            self._searched = 0
            events.append(Event(_parse_id(event_bytes), event_bytes))
        # Only the separator's first byte can be at the end of what was searched.
        self._searched = max(0, len(self._buffer) - 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("a stream event is too large")
        return events

    @property
    def is_empty(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._buffer


def _parse_id(event_bytes: bytes) -> int:
    for line in event_bytes.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else 0
    return 0
