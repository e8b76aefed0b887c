"""Steps for the relay loop, over socket pairs and a virtual clock."""

from __future__ import annotations

import functools
import socket

import h11
import trio
import trio.testing
from behave import then

from galenavane.experiment import relay_ends
from galenavane.net import (
    disconnect,
    headers,
    http_connection,
    http_server,
    message,
    relay,
    stream_filter,
    transport_error,
)
from galenavane.serve import completion_filter, stream_state
from galenavane.simulate import virtual_clock

DEADLINES = stream_filter.Deadlines(10.0, 3.0, 20.0)
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
END = b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
PART_BYTES = 777


class Stream:
    """Both ends of one relayed stream."""

    def __init__(self, name, small=False):
        engine, source = socket.socketpair()
        sink, client = socket.socketpair()
        if small:
            sink.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        streams = [
            trio.SocketStream(trio.socket.from_stdlib_socket(end))
            for end in (engine, source, sink, client)
        ]
        self.name = name
        self.engine, self.client = streams[0], streams[3]
        self.source = http_connection.HttpConnection(streams[1], h11.CLIENT)
        self.source.machine.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        self.source.machine.send(h11.EndOfMessage())
        self.source.machine.receive_data(HEAD)
        self.source.machine.next_event()
        self.sink = http_connection.HttpConnection(streams[2], h11.SERVER)
        self.sink.machine.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        self.sink.machine.next_event()
        self.sink.machine.next_event()
        self.exchange = http_server.Exchange(self.sink, message.Request("GET", "/"))
        self.state = stream_state.StreamState(name)
        self.state.begin_try()

    async def run(self):
        frame = functools.partial(self.exchange.frame_chunk, headers.Headers())
        chunk_filter = completion_filter.CompletionFilter(self.source.machine, self.state, frame)
        await relay.run(self.source, self.sink, chunk_filter, DEADLINES)

    def tokens(self, count):
        return b"".join(relay_ends.make_token_chunk(self.name, number) for number in range(count))

    async def send_parts(self, data):
        for start in range(0, len(data), PART_BYTES):
            await self.engine.send_all(data[start : start + PART_BYTES])
            await trio.sleep(0.001)

    async def read_count(self, count, pause=0.0):
        data = b""
        while data.count(b"data: ") < count or not data.endswith(b"\r\n"):
            data += await self.client.receive_some(4096)
            await trio.sleep(pause)
        for number in range(count):
            assert b'"%s","offset":%d,' % (self.name.encode(), number) in data
        assert data.count(b'"id"') == data.count(b'"%s"' % self.name.encode()) == count


async def relay_whole(stream, count, pause, done):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stream.send_parts, stream.tokens(count) + END)
        nursery.start_soon(stream.read_count, count, pause)
        await stream.run()
    done.append(stream.name)


@then("{streams:d} relayed streams of {count:d} tokens in parts of odd size arrive completely")
def check_many(context, streams, count):
    async def main():
        done = []
        async with trio.open_nursery() as nursery:
            for number in range(streams):
                nursery.start_soon(relay_whole, Stream(f"r{number}"), count, 0, done)
        assert len(done) == streams

    virtual_clock.run(main, 1)


@then("a relayed stream of {count:d} tokens reaches a slow reader completely and delays no other")
def check_slow(context, count):
    async def main():
        done = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(relay_whole, Stream("slow", small=True), count, 0.05, done)
            nursery.start_soon(relay_whole, Stream("fast"), 10, 0, done)
        assert done == ["fast", "slow"]

    virtual_clock.run(main, 1)


@then("a relayed stream of {count:d} tokens whose target closes reaches a slow reader completely")
def check_closing(context, count):
    async def main():
        stream = Stream("r", small=True)

        async def send_and_close():
            await stream.send_parts(stream.tokens(count) + END)
            await stream.engine.aclose()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_and_close)
            nursery.start_soon(stream.read_count, count, 0.05)
            await stream.run()

    virtual_clock.run(main, 1)


async def run_until_error(stream, expected):
    start = trio.current_time()
    try:
        await stream.run()
    except expected as exc:
        return exc, trio.current_time() - start
    raise AssertionError("the relay ended without an error")


@then("a relayed source that sends nothing fails with silent after {seconds:d} virtual seconds")
def check_no_token(context, seconds):
    check_silence(0, seconds)


@then(
    "a relayed source that stops after {count:d} tokens fails with silent after {seconds:d} "
    "virtual seconds"
)
def check_stop(context, count, seconds):
    check_silence(count, seconds)


def check_silence(count, seconds):
    async def main():
        stream = Stream("r")
        await stream.engine.send_all(stream.tokens(count))
        exc, elapsed_seconds = await run_until_error(stream, transport_error.TransportError)
        assert exc.kind is transport_error.Kind.SILENT
        assert exc.has_sent_bytes
        assert abs(elapsed_seconds - seconds) < 0.5, elapsed_seconds
        assert stream.state.delivered_tokens == count

    virtual_clock.run(main, 1)


@then(
    "a relayed source that closes after {count:d} tokens fails with reset after relaying 2 tokens"
)
def check_close(context, count):
    async def main():
        stream = Stream("r")
        await stream.engine.send_all(stream.tokens(count))
        await stream.engine.aclose()
        exc, _ = await run_until_error(stream, transport_error.TransportError)
        assert exc.kind is transport_error.Kind.RESET
        await stream.read_count(count)

    virtual_clock.run(main, 1)


@then("a relay whose client closes ends as disconnected within 0.2 virtual seconds")
def check_gone(context):
    async def main():
        stream = Stream("r")
        await stream.client.aclose()
        _, elapsed_seconds = await run_until_error(stream, disconnect.DisconnectError)
        assert elapsed_seconds < 0.2, elapsed_seconds

    virtual_clock.run(main, 1)


@then("a relay whose client reads nothing ends as disconnected after {seconds:d} virtual seconds")
def check_unread(context, seconds):
    async def main():
        stream = Stream("r", small=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.engine.send_all, stream.tokens(2000))
            _, elapsed_seconds = await run_until_error(stream, disconnect.DisconnectError)
            nursery.cancel_scope.cancel()
        assert abs(elapsed_seconds - seconds) < 0.5, elapsed_seconds

    virtual_clock.run(main, 1)


@then("a cancelled relay leaves its sockets alone while another continues")
def check_cancelled(context):
    async def main():
        gone, other = Stream("gone"), Stream("other")
        done = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(relay_whole, other, 50, 0.01, done)
            with trio.move_on_after(0.05):
                await gone.run()
            await gone.engine.send_all(gone.tokens(1))
            data = await gone.source.stream.receive_some(4096)
            assert data == gone.tokens(1)
        assert done == ["other"]

    virtual_clock.run(main, 1)


@then("a request that arrives during a relayed stream is read after it")
def check_pipelined(context):
    async def main():
        stream = Stream("r")
        await stream.client.send_all(b"GET /next HTTP/1.1\r\nhost: x\r\n\r\n")
        await relay_whole(stream, 3, 0, [])
        await stream.exchange.end_stream()
        stream.sink.machine.start_next_cycle()
        assert (await stream.sink.next_event()).target == b"/next"

    virtual_clock.run(main, 1)


@then("a relayed stream whose filter raises ends with that error while another completes")
def check_defect(context):
    class FailingFilter:
        is_done = False
        error = None

        def start(self, now):
            return b""

        def feed(self, data, now):
            raise ZeroDivisionError

    async def run_defect(stream):
        await stream.engine.send_all(b"x")
        try:
            await relay.run(stream.source, stream.sink, FailingFilter(), DEADLINES)
        except ZeroDivisionError:
            return
        raise AssertionError("the relay did not raise the error")

    async def run_both():
        done = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(relay_whole, Stream("whole"), 50, 0.01, done)
            await run_defect(Stream("broken"))
        assert done == ["whole"]

    virtual_clock.run(run_both, 1)
