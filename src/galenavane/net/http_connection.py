"""Sends and receives HTTP/1.1 messages on one connection, as server or as client."""

from __future__ import annotations

import typing

import h11
import trio

from galenavane.net import buffer_budget, http_encoding, message, transport_error
from galenavane.net import headers as header_lists
from galenavane.observe import events

READ_SIZE_BYTES = 65536
MAX_HEAD_BYTES = 32768
MAX_INFORMATIONAL_RESPONSES = 8
"""A server in trouble may send 1xx responses without end."""
CLOCK_HEADER = b"x-galenavane-clock"
_RESERVED_FIELDS = frozenset({b"host", b"content-length", b"transfer-encoding", CLOCK_HEADER})


class HttpConnection:
    """An h11 connection state machine and the stream that carries it.

    :ivar stream: the byte stream.
    :ivar machine: the h11 connection state machine.
    :ivar request_method: method of the request that was last received.
    :ivar has_sent_bytes: whether any byte was passed to the stream.
    :ivar is_cut: whether a write was cancelled or failed, so that a part of it may be missing.
    :ivar error_status: HTTP status to respond with when the peer's message is malformed.
    """

    __slots__ = (
        "_is_eof",
        "error_status",
        "has_sent_bytes",
        "is_cut",
        "machine",
        "request_method",
        "stream",
    )

    def __init__(self, stream: trio.abc.Stream, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.stream = stream
        self.machine = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.has_sent_bytes = False
        self.is_cut = False
        self.request_method = ""
        self.error_status = 400
        self._is_eof = False

    async def send(self, *events: h11.Event) -> None:
        """Send events in a single write.

        :raises TransportError: ``RESET`` when the peer closed the connection; ``MALFORMED`` when
            an event is not valid HTTP, in which case nothing was sent.
        """
        try:
            data = http_encoding.encode(self.machine, *events)
        except http_encoding.EncodingError as exc:
            raise self._make_error(transport_error.Kind.MALFORMED, str(exc)) from exc
        await self.write(data)

    async def write(self, data: bytes) -> None:
        """Write bytes to the stream.

        :raises TransportError: ``RESET`` when the peer closed the connection.
        """
        if not data:
            return
        self.has_sent_bytes = True
        self.is_cut = True
        try:
            await self.stream.send_all(data)
            self.is_cut = False
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise self._make_error(transport_error.Kind.RESET, str(exc)) from exc

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event from the peer.

        :raises TransportError: ``RESET`` or ``MALFORMED``.
        """
        while True:
            try:
                event = self.machine.next_event()
            except h11.RemoteProtocolError as exc:
                self.error_status = exc.error_status_hint
                kind = transport_error.Kind.MALFORMED
                if self._is_eof:
                    kind = transport_error.Kind.RESET
                raise self._make_error(kind, str(exc)) from exc
            if event is not h11.NEED_DATA:
                return typing.cast("h11.Event | type[h11.PAUSED]", event)
            await self.feed_machine()

    async def receive(self) -> bytes:
        """Return the next bytes from the peer, or empty bytes at the end of the stream.

        :raises TransportError: ``RESET``.
        """
        try:
            return bytes(await self.stream.receive_some(READ_SIZE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise self._make_error(transport_error.Kind.RESET, str(exc)) from exc

    async def feed_machine(self) -> bool:
        """Receive bytes for the state machine; return whether there were any.

        :raises TransportError: ``RESET``.
        """
        data = await self.receive()
        self._is_eof = not data
        try:
            self.machine.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise self._make_error(transport_error.Kind.RESET, str(exc)) from exc
        return bool(data)

    async def read_body(
        self, limit_bytes: int, reservation: buffer_budget.Reservation | None = None
    ) -> bytes:
        """Read a body up to the end of the message.

        :param reservation: the memory that it takes. A body that finds none is read to its end
            all the same, so that its sender is there to be told.
        :raises TransportError: ``RESET``, ``MALFORMED``, ``TOO_LARGE`` when the body exceeds the
            limit, or ``NO_MEMORY`` when the memory for bodies is in use.
        """
        parts: list[bytes] = []
        size = 0
        has_memory = True
        while True:
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage) and not has_memory:
                raise self._make_error(
                    transport_error.Kind.NO_MEMORY, "the memory for bodies is in use"
                )
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise self._make_error(
                    transport_error.Kind.RESET, "connection closed before the end of the body"
                )
            size += len(event.data)
            if size > limit_bytes:
                raise self._make_error(
                    transport_error.Kind.TOO_LARGE, f"the body exceeds {limit_bytes} bytes"
                )
            if has_memory and reservation is not None and not reservation.grow(len(event.data)):
                has_memory = False
                parts.clear()
                reservation.clear()
            if has_memory:
                parts.append(bytes(event.data))

    async def send_request(self, req: message.Request, host: str) -> None:
        """Send a complete request.

        :param host: value of the ``Host`` field.
        :raises TransportError: ``RESET`` or ``MALFORMED``.
        """
        fields = req.headers.without(_RESERVED_FIELDS)
        pairs = [(b"host", host.encode()), *fields.pairs]
        pairs.append((CLOCK_HEADER, events.make_stamp().encode()))
        if req.body or req.method in ("POST", "PUT"):
            pairs.append((b"content-length", str(len(req.body)).encode()))
        head = h11.Request(method=req.method, target=req.target, headers=pairs)
        await self.send(head, h11.Data(data=req.body), h11.EndOfMessage())

    async def read_response_head(self) -> message.Response:
        """Read the head of a final response; the body remains to be read.

        :raises TransportError: ``RESET`` or ``MALFORMED``.
        """
        event = await self.next_event()
        skipped = 0
        while isinstance(event, h11.InformationalResponse):
            skipped += 1
            if skipped > MAX_INFORMATIONAL_RESPONSES:
                text = f"more than {MAX_INFORMATIONAL_RESPONSES} informational responses"
                raise self._make_error(transport_error.Kind.MALFORMED, text)
            event = await self.next_event()
        if not isinstance(event, h11.Response):
            raise self._make_error(
                transport_error.Kind.RESET, "connection closed before the response"
            )
        fields = header_lists.Headers(event.headers)
        events.receive_stamp(fields.get(CLOCK_HEADER.decode()))
        return message.Response(event.status_code, fields.without({CLOCK_HEADER}))

    def renew_machine(self) -> None:
        """Replace a server's state machine that failed before anything was sent.

        Its new state allows one response, after which the connection has to be closed.
        """
        self.machine = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)

    async def close(self) -> None:
        """Close the stream without waiting; never raises."""
        await trio.aclose_forcefully(self.stream)

    def _make_error(self, kind: transport_error.Kind, text: str) -> transport_error.TransportError:
        return transport_error.TransportError(kind, self.has_sent_bytes, text)
