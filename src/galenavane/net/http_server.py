"""Serves HTTP/1.1 connections, passing each request to a handler."""

from __future__ import annotations

import dataclasses
from collections import abc

import h11
import trio

from galenavane.failure import code as codes
from galenavane.failure import error_body, failure
from galenavane.net import headers as header_lists
from galenavane.net import http_connection, message, transport_error
from galenavane.observe import events

WRITE_TIMEOUT_SECONDS = 20.0


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits for a client connection.

    :ivar body_bytes: maximum size of a request body.
    :ivar idle_seconds: maximum wait for the next request on an open connection.
    :ivar read_seconds: maximum time in which a client must send a request body.
    :ivar write_seconds: maximum time for sending a response, or one part of a streamed one.
    """

    body_bytes: int = 1_100_000
    idle_seconds: float = 60.0
    read_seconds: float = 20.0
    write_seconds: float = WRITE_TIMEOUT_SECONDS


class Exchange:
    """One request and the methods to respond to it.

    Sending raises ``TransportError`` when the client does not read for ``write_seconds``.

    :ivar conn: connection to the client.
    :ivar is_answered: whether a response was started.
    """

    __slots__ = ("_write_seconds", "conn", "is_answered", "request")

    def __init__(
        self,
        conn: http_connection.HttpConnection,
        req: message.Request,
        write_seconds: float = WRITE_TIMEOUT_SECONDS,
    ) -> None:
        self.conn = conn
        self.request = req
        self._write_seconds = write_seconds
        self.is_answered = False

    async def respond(self, response: message.Response) -> None:
        """Send a complete response.

        :raises TransportError: when the client disconnected or stopped reading.
        """
        self.is_answered = True
        fields = self._add_clock_header(self._set_length(response))
        head = h11.Response(status_code=response.status, headers=fields.pairs)
        body = b"" if self.request.method == "HEAD" else response.body
        await self._send(head, h11.Data(data=body), h11.EndOfMessage())

    def _set_length(self, response: message.Response) -> header_lists.Headers:
        """Return a response's fields with the length of its body.

        Status 204 has none. That of a response to HEAD or of status 304 is the length of the body
        that it leaves out, which the handler may not know.
        """
        fields = response.headers.without({b"transfer-encoding"})
        leaves_out_body = self.request.method == "HEAD" or response.status == 304
        if leaves_out_body and not response.body:
            return fields
        fields = fields.without({b"content-length"})
        if response.status == 204:
            return fields
        return fields.add("content-length", str(len(response.body)))

    def frame_chunk(self, fields: header_lists.Headers, data: bytes) -> bytes:
        """Return data as an HTTP chunk, preceded by the response head for the first chunk.

        Only the head and the end of a response go through h11. For chunks it would add nothing
        but this framing, which would be a third of the cost of relaying a token.

        :param fields: header fields of the response.
        :returns: bytes to write to the socket.
        """
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        if self.is_answered:
            return chunk
        self.is_answered = True
        self._add_clock_header(fields).add("transfer-encoding", "chunked")
        head = self.conn.machine.send(h11.Response(status_code=200, headers=fields.pairs))
        return (head or b"") + chunk

    async def start_stream(self, status: int, fields: header_lists.Headers) -> None:
        """Send the head of a chunked response.

        :raises TransportError: when the client disconnected or stopped reading.
        """
        self.is_answered = True
        self._add_clock_header(fields).add("transfer-encoding", "chunked")
        await self._send(h11.Response(status_code=status, headers=fields.pairs))

    def _add_clock_header(self, fields: header_lists.Headers) -> header_lists.Headers:
        """Add a clock timestamp if the request carried one."""
        name = http_connection.CLOCK_HEADER.decode()
        return fields.add(name, events.make_stamp()) if self.request.headers.get(name) else fields

    async def send_chunk(self, data: bytes) -> None:
        """Send one chunk of a started stream.

        :raises TransportError: when the client disconnected or stopped reading.
        """
        await self._send(h11.Data(data=data))

    async def end_stream(self, data: bytes = b"") -> None:
        """Send an optional last chunk and end a started stream.

        :raises TransportError: when the client disconnected or stopped reading.
        """
        await self._send(h11.Data(data=data), h11.EndOfMessage())

    async def _send(self, *parts: h11.Event) -> None:
        try:
            with trio.fail_after(self._write_seconds):
                await self.conn.send(*parts)
        except trio.TooSlowError:
            kind = transport_error.Kind.SILENT
            text = f"the client read nothing for {self._write_seconds} s"
            raise transport_error.TransportError(kind, True, text) from None


Handler = abc.Callable[[Exchange], abc.Awaitable[None]]


async def serve_stream(stream: trio.abc.Stream, handler: Handler, limits: Limits) -> None:
    """Serve requests on one connection until it closes."""
    conn = http_connection.HttpConnection(stream, h11.SERVER)
    try:
        while await _serve_request(conn, handler, limits):
            conn.machine.start_next_cycle()
    except (transport_error.TransportError, h11.LocalProtocolError):
        pass
    except Exception as exc:
        # An unexpected exception ends this connection, but must not end the others.
        events.log("connection.defect", text=f"{type(exc).__name__}: {exc}")
    finally:
        await conn.close()


async def _serve_request(
    conn: http_connection.HttpConnection, handler: Handler, limits: Limits
) -> bool:
    """Serve one request; return whether the connection can be reused."""
    try:
        req = await _read_request(conn, limits)
    except transport_error.TransportError as exc:
        await _respond_error(conn, exc)
        return False
    if req is None:
        return False
    exchange = Exchange(conn, req, limits.write_seconds)
    await handler(exchange)
    # h11 counts a response as sent before its bytes are.
    is_sent = conn.machine.our_state is h11.DONE and not conn.is_cut
    return is_sent and conn.machine.their_state is h11.DONE


async def _read_request(
    conn: http_connection.HttpConnection, limits: Limits
) -> message.Request | None:
    with trio.move_on_after(limits.idle_seconds) as idle_scope:
        event = await conn.next_event()
    if idle_scope.cancelled_caught or not isinstance(event, h11.Request):
        return None
    _check_framing(event)
    if conn.machine.they_are_waiting_for_100_continue:
        await conn.send(h11.InformationalResponse(status_code=100, headers=[]))
    with trio.move_on_after(limits.read_seconds) as read_scope:
        body = await conn.read_body(limits.body_bytes)
    if read_scope.cancelled_caught:
        return None
    method = event.method.decode("ascii")
    target = event.target.decode("latin-1")
    fields = header_lists.Headers(event.headers)
    events.receive_stamp(fields.get(http_connection.CLOCK_HEADER.decode()))
    return message.Request(method, target, fields, body)


def _check_framing(head: h11.Request) -> None:
    """Reject a request whose end another parser might see elsewhere (request smuggling).

    :raises TransportError: ``MALFORMED``.
    """
    names = {name for name, _ in head.headers}
    if {b"content-length", b"transfer-encoding"} <= names:
        text = "the request has both Content-Length and Transfer-Encoding"
        raise transport_error.TransportError(transport_error.Kind.MALFORMED, False, text)
    if b"transfer-encoding" in names and head.http_version < b"1.1":
        text = "the HTTP/1.0 request has Transfer-Encoding"
        raise transport_error.TransportError(transport_error.Kind.MALFORMED, False, text)


async def _respond_error(
    conn: http_connection.HttpConnection, exc: transport_error.TransportError
) -> None:
    if conn.machine.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    is_too_large = exc.kind is transport_error.Kind.TOO_LARGE
    code = codes.Code.BODY_TOO_LARGE if is_too_large else codes.Code.BAD_REQUEST
    body = error_body.make(failure.Failure(code, str(exc)), "")
    response = message.json_response(413 if is_too_large else conn.error_status, body)
    response.headers.add("connection", "close")
    await Exchange(conn, message.Request("", "")).respond(response)
