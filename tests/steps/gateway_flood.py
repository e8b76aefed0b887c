"""Steps for targets that send bytes without end."""

from __future__ import annotations

import types

import h11
import trio
from behave import then, when
from steps import gateway_whole_path

from galenavane.net import http_connection, transport_error
from galenavane.serve import event_splitter

plan_step = gateway_whole_path.plan_step
CHUNKED = b"HEADTransfer-Encoding: chunked\r\n\r\n"
FLOODS = {
    "a header line": (b"HEADX: ", b"a" * 1000),
    "header lines": (b"HEAD", b"X-a: b\r\n" * 100),
    "no line end": (b"", b"a" * 1000),
    "garbage lines": (b"", b"\x00\xff\n" * 100),
    "informational responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "a chunk size": (CHUNKED, b"1" * 1000),
    "a chunk extension": (CHUNKED + b"5;", b"a" * 1000),
    "trailers": (CHUNKED + b"0\r\n", b"X-a: b\r\n" * 100),
    "an event": (CHUNKED, b"3e8\r\n" + b"a" * 1000 + b"\r\n"),
    "an unframed body": (b"HEAD\r\n", b"a" * 1000),
    "bytes after its answer": (b"HEADContent-Length: 4\r\n\r\ndone", b"\x00 extra" * 100),
}
UNENDING_HEADS = (*FLOODS,)[:8]


def set_flood(context, flood, pause_seconds):
    """Make the target that is asked next send a flood."""

    @plan_step(context)
    async def step(world):
        start, repeated = FLOODS[flood]
        world.flood = types.SimpleNamespace(
            start=start,
            repeated=repeated if not pause_seconds else repeated[:27],
            pause_seconds=pause_seconds,
            target="",
            requests=0,
            seconds=None,
        )


@when("the first target that is asked sends {flood} without end")
def flood_fast(context, flood):
    set_flood(context, flood, 0.0)


@when("the first target that is asked sends {flood} without end, a piece each 100 ms")
def flood_slowly(context, flood):
    set_flood(context, flood, 0.1)


@then('it gets the body "{body}" with status {status:d}')
def check_body(context, body, status):
    @plan_step(context)
    async def step(world):
        answer = world.answer
        assert (answer.status, answer.body, answer.is_whole) == (
            status,
            body.encode(),
            True,
        ), answer


@then("the flood was cut off within {seconds:g} s")
def check_cut_off(context, seconds):
    @plan_step(context)
    async def step(world):
        with trio.move_on_after(seconds):
            while world.flood.seconds is None:
                await trio.sleep(0.01)
        assert world.flood.seconds is not None, "the connection is still open"
        assert world.flood.seconds <= seconds, world.flood.seconds
        assert world.flood.requests == 1, world.flood


@then("the entry avoids the target that sent it")
def check_avoided(context):
    @plan_step(context)
    async def step(world):
        assert world.entry.is_suspect(world.flood.target)


class EndlessStream(trio.abc.Stream):
    """A stream that goes on without end, and counts the bytes read from it."""

    def __init__(self, start, repeated):
        self.unread = start
        self.repeated = repeated
        self.read_bytes = 0

    async def receive_some(self, max_bytes=None):
        while len(self.unread) < max_bytes:
            self.unread += self.repeated * 10
        part, self.unread = self.unread[:max_bytes], self.unread[max_bytes:]
        self.read_bytes += len(part)
        return part

    async def send_all(self, data):
        """Ignore what is sent."""

    async def wait_send_all_might_not_block(self):
        """Return at once."""

    async def aclose(self):
        """Do nothing."""


@then("an endless answer of any of these kinds is read up to {limit:d} bytes")
def check_read_bytes(context, limit):
    async def read(flood):
        start, repeated = FLOODS[flood]
        stream = EndlessStream(start.replace(b"HEAD", b"HTTP/1.1 200 OK\r\n"), repeated)
        conn = http_connection.HttpConnection(stream, h11.CLIENT)
        await conn.send(
            h11.Request(method="GET", target="/", headers=[("host", "h")]), h11.EndOfMessage()
        )
        try:
            await conn.read_response_head()
            await conn.read_body(1_000_000)
        except transport_error.TransportError:
            assert stream.read_bytes <= limit, (flood, stream.read_bytes)
        else:
            raise AssertionError(f"{flood} was read as an answer")

    for flood in UNENDING_HEADS:
        trio.run(read, flood)


@then("an endless event is buffered up to {limit:d} bytes")
def check_buffered_bytes(context, limit):
    splitter = event_splitter.EventSplitter()
    fed = 0
    try:
        while fed <= limit:
            fed += 65_536
            splitter.feed(b"a" * 65_536)
    except ValueError:
        pass
    assert fed <= limit, fed
