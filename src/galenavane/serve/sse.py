"""Reads the server-sent events of a response body."""

from __future__ import annotations

import h11

from galenavane.net import http_connection

DONE = b"[DONE]"
_SEPARATOR = b"\n\n"
_DATA_PREFIX = b"data: "


class EventReader:
    """Reads events from a connection whose response head has been read."""

    __slots__ = ("_buffer", "_conn")

    def __init__(self, conn: http_connection.HttpConnection) -> None:
        self._conn = conn
        self._buffer = bytearray()

    async def next_data(self) -> bytes | None:
        """Return the data of the next event, or ``None`` at the end of the body.

        :raises TransportError: ``RESET`` or ``MALFORMED``.
        """
        while True:
            end = self._buffer.find(_SEPARATOR)
            if end >= 0:
                event = bytes(self._buffer[:end])
                del self._buffer[: end + len(_SEPARATOR)]
                return event.removeprefix(_DATA_PREFIX)
            received = await self._conn.next_event()
            if not isinstance(received, h11.Data):
                return None
            self._buffer += received.data
