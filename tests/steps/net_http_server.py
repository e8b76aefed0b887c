"""Steps for the HTTP server, over in-memory streams."""

from __future__ import annotations

import trio
import trio.testing
from behave import then

from galenavane.net import headers, http_server, message
from galenavane.simulate import virtual_clock

POST = b"POST / HTTP/1.1\r\nhost: x\r\n"
RAW = {
    "both lengths": POST + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "HEAD with both lengths": b"HEAD / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n"
    + b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "HEAD with a late body": b"HEAD / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab",
    "two different lengths": POST + b"content-length: 5\r\ncontent-length: 6\r\n\r\nabcdef",
    "non-numeric length": POST + b"content-length: five\r\n\r\n",
    "negative length": POST + b"content-length: -1\r\n\r\n",
    "unknown transfer encoding": POST + b"transfer-encoding: gzip, chunked\r\n\r\n",
    "transfer encoding in HTTP/1.0": b"POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n",
    "space before the colon": POST + b"content-length : 5\r\n\r\nabcde",
    "bare CR in a field value": POST + b"x: a\rb\r\n\r\n",
    "no Host field": b"POST / HTTP/1.1\r\n\r\n",
    "invalid chunk size": POST + b"transfer-encoding: chunked\r\n\r\n0x5\r\nabcde\r\n0\r\n\r\n",
    "oversized head": POST + b"x: " + b"a" * 40_000,
    "body over the limit": POST + b"content-length: 1200000\r\n\r\n" + b"a" * 1_200_000,
}


def exchange_raw(data, body=b"ok", status=200, fields=()):
    """Send bytes to a server.

    :param fields: header fields of its responses.
    :returns: the bytes it responds with, the requests it handled and the elapsed seconds.
    """
    handled = []

    async def handle(exchange):
        handled.append(exchange.request)
        await exchange.respond(message.Response(status, headers.Headers(fields), body))

    async def main():
        client, server = trio.testing.memory_stream_pair()
        limits = http_server.Limits(idle_seconds=5.0)
        answer = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(http_server.serve_stream, server, handle, limits)
            nursery.start_soon(send, client, data)
            async for part in client:
                answer += part
        return answer, trio.current_time()

    answer, elapsed_seconds = virtual_clock.run(main, 1)
    return answer, handled, elapsed_seconds


async def send(client, data):
    try:
        await client.send_all(data)
    except trio.BrokenResourceError:
        pass


@then('the raw request "{name}" is answered with {status:d} and the connection closes')
def check_refused(context, name, status):
    answer, handled, _ = exchange_raw(RAW[name])
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer[:200]
    assert not handled
    assert answer.count(b"HTTP/1.1") == 1


@then('a folded field "a\\r\\n b" is handled as "a b"')
def check_folded(context):
    _, handled, _ = exchange_raw(b"GET / HTTP/1.1\r\nhost: x\r\nx-a: a\r\n b\r\n\r\n")
    assert handled[0].headers.get("x-a") == "a b"


@then("two requests in one write are answered in order")
def check_pipelined(context):
    request = b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n"
    answer, handled, _ = exchange_raw(request % 1 + request % 2)
    assert [req.target for req in handled] == ["/1", "/2"]
    assert answer.count(b"HTTP/1.1 200") == 2


@then("the connection of a client that sends half a request is closed after 20 seconds")
def check_half(context):
    _, handled, elapsed_seconds = exchange_raw(POST + b"content-length: 5\r\n\r\nab")
    assert not handled
    assert 19 < elapsed_seconds < 21, elapsed_seconds


@then("the connection of a client that reads nothing is closed after 20 seconds")
def check_unread(context):
    async def handle(exchange):
        await exchange.respond(message.Response(200, body=b"x" * 100))

    async def main():
        client, server = trio.testing.lockstep_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, client, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            await http_server.serve_stream(server, handle, http_server.Limits())
        return trio.current_time()

    elapsed_seconds = virtual_clock.run(main, 1)
    assert 19 < elapsed_seconds < 21, elapsed_seconds


@then("a request that expects 100-continue gets 100 and then 200")
def check_continue(context):
    data = POST + b"content-length: 2\r\nexpect: 100-continue\r\n\r\nab"
    answer, handled, _ = exchange_raw(data[:-2])
    assert answer.startswith(b"HTTP/1.1 100 "), answer
    assert not handled
    answer, handled, _ = exchange_raw(data)
    assert b"HTTP/1.1 200" in answer
    assert handled[0].body == b"ab"


@then("a response to HEAD has a content length and no body")
def check_head(context):
    answer, _, _ = exchange_raw(b"HEAD / HTTP/1.1\r\nhost: x\r\n\r\n", body=b"12345")
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"content-length: 5" in head.lower()
    assert body == b""


@then(
    'a response of status {status:d} to {method} with length "{stated}" has length "{sent}" '
    "and no body"
)
@then(
    'a response of status {status:d} to {method} with length "{stated}" has length "" and no body'
)
@then('a response of status {status:d} to {method} with length "" has length "{sent}" and no body')
@then('a response of status {status:d} to {method} with length "" has length "" and no body')
def check_stated_length(context, status, method, stated="", sent=""):
    fields = [(b"content-length", stated.encode())] if stated else []
    request = method.encode() + b" / HTTP/1.1\r\nhost: x\r\n\r\n"
    answer, _, _ = exchange_raw(request * 2, b"", status, fields)
    first, second, rest = answer.split(b"\r\n\r\n")
    assert rest == b"" and second.startswith(b"HTTP/1.1 %d" % status), answer
    lengths = [line for line in first.lower().split(b"\r\n") if line.startswith(b"content-length")]
    assert lengths == ([b"content-length: " + sent.encode()] if sent else []), answer
