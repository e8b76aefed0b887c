"""Steps for requests that the HTTP server or its handler can't serve as usual."""

from __future__ import annotations

import json

import h11
import trio
import trio.testing
from behave import then

from galenavane.net import headers, http_encoding, http_server, message, transport_error
from galenavane.simulate import virtual_clock

SECONDS = 120


def serve(handle, client_task, limits=None):
    """Serve one connection in virtual time.

    :param client_task: async function of the client's end.
    :returns: all bytes that the client got, and the elapsed seconds.
    """

    async def main():
        client, server = trio.testing.memory_stream_pair()
        answer = b""
        with trio.fail_after(SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    http_server.serve_stream, server, handle, limits or http_server.Limits()
                )
                nursery.start_soon(client_task, client)
                async for part in client:
                    answer += part
        return answer, trio.current_time()

    return virtual_clock.run(main, 1)


def send_once(data):
    """Return a client that sends bytes and waits."""

    async def client_task(client):
        await client.send_all(data)

    return client_task


async def respond_badly(exchange, fault):
    """Send a response that is not valid HTTP."""
    if fault == "a line end in a field":
        fields = headers.Headers([(b"x-a", b"a\r\nb")])
        await exchange.respond(message.Response(200, fields, b"ok"))
    else:
        # The state machine has accepted the head when it refuses the body.
        exchange.conn.machine.send(h11.Response(status_code=200, headers=[("content-length", "1")]))
        await exchange.respond(message.Response(200, body=b"ok"))


@then(
    "after a {method} response with {fault} the handler can answer with status {status:d}, "
    "and the connection {end}"
)
def check_answers_after(context, method, fault, status, end):
    seen = []

    async def handle(exchange):
        try:
            await respond_badly(exchange, fault)
        except http_encoding.EncodingError:
            seen.append(exchange.is_answered)
            await exchange.respond(message.Response(status, body=b"why"))

    answer, seconds = serve(handle, send_once(method.encode() + b" / HTTP/1.1\r\nhost: x\r\n\r\n"))
    head, _, body = answer.partition(b"\r\n\r\n")
    assert seen == [False], seen
    assert head.startswith(b"HTTP/1.1 %d " % status), answer
    assert (b"connection: close" in head.lower()) == (end == "closes"), answer
    assert (seconds < 1) == (end == "closes"), seconds
    assert body == (b"" if method == "HEAD" else b"why"), answer


ERRORS = {
    "ValueError": ValueError("x"),
    "TransportError": transport_error.TransportError(transport_error.Kind.RESET, True, "x"),
    "EncodingError": http_encoding.EncodingError("x"),
    "LocalProtocolError": h11.LocalProtocolError("x"),
}
GET = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"


@then(
    "a handler that raises {error} before its answer is answered for with status {status:d} "
    "and code {code:d}"
)
def check_raises_before(context, error, status, code):
    async def handle(exchange):
        raise ERRORS[error]

    answer, seconds = serve(handle, send_once(GET))
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), answer
    assert b"connection: close" in head.lower() and seconds < 1, (answer, seconds)
    detail = json.loads(body)["error"]
    assert (detail["code"], detail["outcome"]) == (code, "unknown"), detail


@then("a handler that raises {error} after its answer has begun adds nothing to it")
def check_raises_after(context, error):
    async def handle(exchange):
        await exchange.start_stream(200, headers.Headers())
        await exchange.send_chunk(b"ok")
        raise ERRORS[error]

    answer, seconds = serve(handle, send_once(GET))
    assert answer.endswith(b"\r\n\r\n2\r\nok\r\n") and seconds < 1, (answer, seconds)


@then("a handler whose {answer} is cancelled at its first byte can answer with status {status:d}")
def check_cancelled(context, answer, status):
    async def handle(exchange):
        with trio.CancelScope() as scope:
            scope.cancel()
            if answer == "response":
                await exchange.respond(message.Response(200, body=b"ok"))
            elif answer == "stream":
                await exchange.start_stream(200, headers.Headers())
            else:
                await exchange.deliver(headers.Headers(), b"ok")
        if not exchange.is_answered:
            await exchange.respond(message.Response(status, body=b"late"))

    got, _ = serve(handle, send_once(GET * 2))
    assert got.count(b"HTTP/1.1 %d " % status) == 2 and b"HTTP/1.1 200" not in got, got


PARTS = {
    "one byte": b"G",
    "half a head": GET[:20],
    "half a body": b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab",
    "half a chunk": b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
    "a second head": GET + GET[:20],
}


async def respond_ok(exchange):
    """Handle a request with a response of status 200."""
    await exchange.respond(message.Response(200, body=b"ok"))


def check_not_run(answer):
    """Check that an answer refuses a request as not run and closes the connection."""
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 408 ") and b"connection: close" in head.lower(), answer
    assert json.loads(body)["error"]["outcome"] == "not_run", body


@then("a client that stops after {part} gets status 408 as not run after {limit:d} s")
def check_stops(context, part, limit):
    answer, seconds = serve(respond_ok, send_once(PARTS[part]))
    if part == "a second head":
        first, _, answer = answer.partition(b"\r\n\r\nok")
        assert first.startswith(b"HTTP/1.1 200 "), first
    check_not_run(answer)
    assert limit - 1 < seconds < limit + 1, seconds


@then("a head whose parts arrive 0.1 s before and 0.1 s after the idle time is answered")
def check_late_head(context):
    limits = http_server.Limits(idle_seconds=5.0)

    async def client_task(client):
        await trio.sleep(4.9)
        await client.send_all(GET[:20])
        await trio.sleep(0.2)
        await client.send_all(GET[20:])

    answer, _ = serve(respond_ok, client_task, limits)
    assert answer.startswith(b"HTTP/1.1 200 "), answer


@then("a client that sends a byte of its head each second is refused after {limit:d} s")
def check_slow_head(context, limit):
    async def client_task(client):
        try:
            for number in range(len(GET)):
                await client.send_all(GET[number : number + 1])
                await trio.sleep(1)
        except trio.BrokenResourceError:
            return

    answer, seconds = serve(respond_ok, client_task)
    check_not_run(answer)
    assert limit - 1 < seconds < limit + 2, seconds


@then("a client that sends nothing gets no byte and is closed after {limit:d} s")
def check_idle(context, limit):
    answer, seconds = serve(respond_ok, send_once(b""))
    assert answer == b"" and limit - 1 < seconds < limit + 1, (answer, seconds)
