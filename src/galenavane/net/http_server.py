"""Serves HTTP/1.1 connections, passing each request to a handler."""

from __future__ import annotations

import dataclasses
import math
from collections import abc

import h11
import trio

from galenavane.failure import code as codes
from galenavane.failure import error_body, failure, table
from galenavane.failure import outcome as outcomes
from galenavane.net import (
    buffer_budget,
    connections,
    disconnect,
    http_connection,
    http_encoding,
    message,
    transport_error,
)
from galenavane.net import headers as header_lists
from galenavane.observe import events, trace_text

WRITE_TIMEOUT_SECONDS = 20.0
LAST_RECEIVE_SECONDS = 0.01
"""For bytes of a request that have arrived when no more requests are waited for."""


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits for a client connection.

    :ivar body_bytes: maximum size of a request body.
    :ivar idle_seconds: maximum wait for the next request on an open connection.
    :ivar read_seconds: maximum time in which a client must send a request that it has begun.
    :ivar budget: memory for the bodies of all requests together.
    :ivar write_seconds: maximum time for sending a response, or one part of a streamed one.
    """

    body_bytes: int = 1_100_000
    idle_seconds: float = 60.0
    read_seconds: float = 20.0
    write_seconds: float = WRITE_TIMEOUT_SECONDS
    budget: buffer_budget.Budget = dataclasses.field(
        default_factory=lambda: buffer_budget.Budget(math.inf)
    )


class Exchange:
    """One request and the methods to respond to it.

    Sending raises ``DisconnectError`` when the client disconnected or did not read for
    ``write_seconds``, and ``EncodingError`` when a response is not valid HTTP.

    :ivar conn: connection to the client.
    :ivar is_answered: whether a response was started; until then another one may be sent.
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

        :raises DisconnectError: when the client disconnected or stopped reading.
        :raises EncodingError: when the response is not valid HTTP.
        """
        if not self.is_answered and self.conn.machine.our_state is h11.ERROR:
            response = self._renew(response)
        fields = self._add_clock_header(self._set_length(response))
        head = http_encoding.make_response(response.status, fields)
        body = b"" if self.request.method == "HEAD" else response.body
        await self._send(head, h11.Data(data=body), h11.EndOfMessage())

    def _renew(self, response: message.Response) -> message.Response:
        """Return a response as it can be sent after one that could not be encoded."""
        self.conn.renew_machine()
        fields = response.headers.without({b"connection"}).add("connection", "close")
        # The new state machine doesn't know that the request was a HEAD request.
        body = b"" if self.request.method == "HEAD" else response.body
        return message.Response(response.status, fields, body)

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
        :raises EncodingError: when the response is not valid HTTP.
        """
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        if self.is_answered:
            return chunk
        self._add_clock_header(fields).add("transfer-encoding", "chunked")
        head = self._encode(http_encoding.make_response(200, fields))
        return head + chunk

    async def deliver(self, fields: header_lists.Headers, data: bytes) -> None:
        """Send data as an HTTP chunk, preceded by the response head for the first chunk.

        :param fields: header fields of the response.
        :raises DisconnectError: when the client disconnected.
        :raises EncodingError: when the response is not valid HTTP.
        """
        await _raise_if_cancelled()
        framed = self.frame_chunk(fields, data)
        try:
            await self.conn.write(framed)
        except transport_error.TransportError as exc:
            raise disconnect.DisconnectError(str(exc)) from exc

    async def start_stream(self, status: int, fields: header_lists.Headers) -> None:
        """Send the head of a chunked response.

        :raises DisconnectError: when the client disconnected or stopped reading.
        :raises EncodingError: when the response is not valid HTTP.
        """
        self._add_clock_header(fields).add("transfer-encoding", "chunked")
        await self._send(http_encoding.make_response(status, fields))

    def _add_clock_header(self, fields: header_lists.Headers) -> header_lists.Headers:
        """Add a clock timestamp if the request carried one."""
        name = http_connection.CLOCK_HEADER.decode()
        return fields.add(name, events.make_stamp()) if self.request.headers.get(name) else fields

    async def send_chunk(self, data: bytes) -> None:
        """Send one chunk of a started stream.

        :raises DisconnectError: when the client disconnected or stopped reading.
        """
        await self._send(h11.Data(data=data))

    async def end_stream(self, data: bytes = b"") -> None:
        """Send an optional last chunk and end a started stream.

        :raises DisconnectError: when the client disconnected or stopped reading.
        """
        await self._send(h11.Data(data=data), h11.EndOfMessage())

    async def _send(self, *parts: h11.Event) -> None:
        await _raise_if_cancelled()
        data = self._encode(*parts)
        try:
            with trio.fail_after(self._write_seconds):
                await self.conn.write(data)
        except trio.TooSlowError:
            text = f"the client read nothing for {self._write_seconds} s"
            raise disconnect.DisconnectError(text) from None
        except transport_error.TransportError as exc:
            raise disconnect.DisconnectError(str(exc)) from exc

    def _encode(self, *parts: h11.Event) -> bytes:
        data = http_encoding.encode(self.conn.machine, *parts)
        self.is_answered = True
        return data


async def _raise_if_cancelled() -> None:
    """Let a cancellation that is due happen before anything counts as sent.

    Without it, the first write would be cancelled after the response counts as begun.
    """
    await trio.lowlevel.checkpoint_if_cancelled()


Handler = abc.Callable[[Exchange], abc.Awaitable[None]]


async def serve_stream(
    stream: trio.abc.Stream,
    handler: Handler,
    limits: Limits,
    conns: connections.Connections | None = None,
) -> None:
    """Serve requests on one connection until it closes.

    :param conns: the connections of the same listener, which can be closed together.
    """
    conn = http_connection.HttpConnection(stream, h11.SERVER)
    conns = conns or connections.Connections()
    try:
        while await _serve_request(conn, handler, limits, conns):
            conn.machine.start_next_cycle()
    except disconnect.DisconnectError:
        # Nobody is left to answer; the handler logs the end of its request.
        pass
    except Exception as exc:
        # An unexpected exception ends this connection, but must not end the others.
        events.log("connection.defect", text=trace_text.make(exc))
    finally:
        await conn.close()


async def _serve_request(
    conn: http_connection.HttpConnection,
    handler: Handler,
    limits: Limits,
    conns: connections.Connections,
) -> bool:
    """Serve one request; return whether the connection can be reused."""
    with limits.budget.reserve() as reservation:
        req = await _receive_request(conn, limits, conns, reservation)
        if req is None:
            return False
        return await _handle_request(conn, req, handler, limits)


async def _handle_request(
    conn: http_connection.HttpConnection,
    req: message.Request,
    handler: Handler,
    limits: Limits,
) -> bool:
    exchange = Exchange(conn, req, limits.write_seconds)
    try:
        await handler(exchange)
    except disconnect.DisconnectError:
        raise
    except Exception as exc:
        events.log("connection.defect", text=trace_text.make(exc))
        await _respond_defect(exchange, exc)
        return False
    # h11 counts a response as sent before its bytes are.
    is_sent = conn.machine.our_state is h11.DONE and not conn.is_cut
    return is_sent and conn.machine.their_state is h11.DONE


async def _receive_request(
    conn: http_connection.HttpConnection,
    limits: Limits,
    conns: connections.Connections,
    reservation: buffer_budget.Reservation,
) -> message.Request | None:
    """Receive the next request; return ``None`` when there is none to be handled."""
    conns.waiting += 1
    try:
        if not await _wait_for_request(conn, limits.idle_seconds, conns):
            return None
        conns.reading += 1
        try:
            return await _read_whole_request(conn, limits, conns, reservation)
        finally:
            conns.reading -= 1
    finally:
        conns.waiting -= 1


async def _wait_for_request(
    conn: http_connection.HttpConnection, idle_seconds: float, conns: connections.Connections
) -> bool:
    """Wait for the first byte of a request; return whether it came."""
    if conn.machine.trailing_data[0]:
        return True
    try:
        if not conns.is_closed:
            with conns.receive(idle_seconds):
                return await conn.feed_machine()
        if conns.is_closed:
            with trio.move_on_after(LAST_RECEIVE_SECONDS):
                return await conn.feed_machine()
    except transport_error.TransportError:
        # A client may leave in any way while it waits for nothing.
        return False
    return False


async def _read_whole_request(
    conn: http_connection.HttpConnection,
    limits: Limits,
    conns: connections.Connections,
    reservation: buffer_budget.Reservation,
) -> message.Request | None:
    """Read a request that has begun; refuse it and return ``None`` when it does not arrive."""
    seconds = LAST_RECEIVE_SECONDS if conns.is_closed else limits.read_seconds
    try:
        with conns.receive(seconds):
            return await _read_request(conn, limits, reservation)
    except transport_error.TransportError as exc:
        await _respond_error(conn, exc)
        return None
    if conns.is_closed:
        error = failure.Failure(codes.Code.LEAVING, "this entry is stopping")
    else:
        text = f"the request did not arrive within {limits.read_seconds} s"
        error = failure.Failure(codes.Code.REQUEST_TIMEOUT, text)
    await _refuse(conn, table.ROWS[error.code].status, error)
    return None


async def _read_request(
    conn: http_connection.HttpConnection,
    limits: Limits,
    reservation: buffer_budget.Reservation,
) -> message.Request | None:
    event = await conn.next_event()
    if not isinstance(event, h11.Request):
        return None
    conn.request_method = event.method.decode("ascii")
    _check_framing(event)
    if conn.machine.they_are_waiting_for_100_continue:
        await conn.send(h11.InformationalResponse(status_code=100, headers=[]))
    body = await conn.read_body(limits.body_bytes, reservation)
    target = event.target.decode("latin-1")
    fields = header_lists.Headers(event.headers)
    events.receive_stamp(fields.get(http_connection.CLOCK_HEADER.decode()))
    return message.Request(conn.request_method, target, fields, body)


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


async def _respond_defect(exchange: Exchange, exc: Exception) -> None:
    """Answer for a handler that failed before its answer began."""
    if exchange.is_answered:
        return
    text = f"internal error: {type(exc).__name__}"
    error = failure.Failure(codes.Code.INTERNAL, text, outcomes.Outcome.UNKNOWN)
    await exchange.respond(_make_last_response(table.ROWS[error.code].status, error))


def _make_last_response(status: int, error: failure.Failure) -> message.Response:
    """Return an error response after which the connection is closed."""
    response = message.json_response(status, error_body.make(error, ""))
    response.headers.add("connection", "close")
    if error.retry_after_seconds is not None:
        response.headers.add("retry-after", f"{error.retry_after_seconds:g}")
    return response


async def _respond_error(
    conn: http_connection.HttpConnection, exc: transport_error.TransportError
) -> None:
    if exc.kind is transport_error.Kind.NO_MEMORY:
        error = failure.Failure(codes.Code.MEMORY_FULL, str(exc), retry_after_seconds=1.0)
        await _refuse(conn, table.ROWS[error.code].status, error)
        return
    is_too_large = exc.kind is transport_error.Kind.TOO_LARGE
    code = codes.Code.BODY_TOO_LARGE if is_too_large else codes.Code.BAD_REQUEST
    status = 413 if is_too_large else conn.error_status
    await _refuse(conn, status, failure.Failure(code, str(exc)))


async def _refuse(
    conn: http_connection.HttpConnection, status: int, error: failure.Failure
) -> None:
    """Answer a request that was not read to its end, and log why."""
    if conn.machine.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    events.log("request.unread", code=error.code.name, status=status, text=error.message)
    exchange = Exchange(conn, message.Request(conn.request_method, ""))
    await exchange.respond(_make_last_response(status, error))
