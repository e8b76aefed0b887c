"""Measures the processor time of a relayed token, naive and present relay side by side.

The row ``direct`` has no relay: it shows the pauses that source and sink make by themselves.

``python -m galenavane.experiment.relay``
"""

from __future__ import annotations

import dataclasses
import functools
import os
import pathlib
import subprocess
import sys
import time
from collections import abc

import defopt
import msgspec
import trio

from galenavane.experiment import relay_ends
from galenavane.net import address as addresses
from galenavane.net import headers as header_lists
from galenavane.net import http_connection, http_server, message, relay, stream_filter, tcp
from galenavane.serve import completion_filter, sse, stream_state

WARM_SECONDS = 2.0
CONNECT_SECONDS = 5.0
LIMIT_SECONDS = 60.0
DIRECT = "direct"
_ENDS = "galenavane.experiment.relay_ends"


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One measured run.

    :ivar cost_us: processor time of the relaying process a token, in microseconds.
    :ivar core_share: share of one core.
    """

    name: str
    cost_us: float
    core_share: float
    sink: relay_ends.SinkResult


async def naive(exchange: http_server.Exchange, conn: http_connection.HttpConnection) -> None:
    """Relay with one task a stream, one parsed event a write."""
    await exchange.start_stream(200, _fields())
    reader = sse.EventReader(conn)
    while True:
        data = await reader.next_data()
        if data is None or data == sse.DONE:
            await exchange.end_stream()
            return
        await exchange.send_chunk(b"data: " + data + b"\n\n")


async def present(exchange: http_server.Exchange, conn: http_connection.HttpConnection) -> None:
    """Relay as the entry does."""
    state = stream_state.StreamState(exchange.request.headers.get("x-request-id"))
    state.begin_try()
    frame = functools.partial(exchange.frame_chunk, _fields())
    pumped = completion_filter.CompletionFilter(conn.machine, state, frame)
    deadlines = stream_filter.Deadlines(LIMIT_SECONDS, LIMIT_SECONDS, LIMIT_SECONDS)
    await relay.run(conn, exchange.conn, pumped, deadlines)
    await exchange.end_stream(b"data: [DONE]\n\n")


Relay = abc.Callable[[http_server.Exchange, http_connection.HttpConnection], abc.Awaitable[None]]
_RELAYS: dict[str, Relay] = {"naive": naive, "present": present}


def run(
    *, streams: int = 600, rate: float = 13_200.0, seconds: float = 8.0, rounds: int = 2
) -> None:
    """Print a table of the relays, each measured in turn in the same run.

    :param streams: streams at once.
    :param rate: tokens a second over all streams.
    :param seconds: measured window of each relay.
    :param rounds: how often each relay is measured.
    """
    print(f"{streams} streams, {rate:.0f} tokens/s offered, one token a read")
    print("relay    us/token  of a core  tokens/s  gap p50 ms  p95 ms  p99 ms")
    for _ in range(rounds):
        for name in (DIRECT, *_RELAYS):
            row = trio.run(_measure, name, streams, rate, seconds)
            sink = row.sink
            print(
                f"{name:8} {row.cost_us:8.1f}  {row.core_share:9.2f}  "
                f"{sink.tokens / seconds:8.0f}  {sink.gap_p50_ms:10.1f}  "
                f"{sink.gap_p95_ms:6.1f}  {sink.gap_p99_ms:6.1f}",
                flush=True,
            )


async def _measure(name: str, streams: int, rate: float, seconds: float) -> Row:
    total = WARM_SECONDS + seconds + 2
    source = _start("source", str(streams), str(rate), str(total))
    assert source.stdout is not None
    port = int(await trio.to_thread.run_sync(source.stdout.readline))
    async with trio.open_nursery() as nursery:
        bound = addresses.Address("127.0.0.1", port)
        if name != DIRECT:
            serve = functools.partial(_serve, bound, _RELAYS[name])
            free = addresses.Address("127.0.0.1", 0)
            bound = await nursery.start(tcp.make().listen, free, serve)
        sink = _start("sink", str(bound), str(streams), str(WARM_SECONDS), str(seconds))
        await trio.sleep(WARM_SECONDS)
        used, began = time.process_time(), time.monotonic()
        await trio.sleep(seconds)
        used, passed = time.process_time() - used, time.monotonic() - began
        assert sink.stdout is not None
        found = msgspec.json.decode(
            await trio.to_thread.run_sync(sink.stdout.readline), type=relay_ends.SinkResult
        )
        nursery.cancel_scope.cancel()
    for process in (source, sink):
        process.wait()
    return Row(name, used / max(1, found.tokens) * 1e6, used / passed, found)


async def _serve(where: addresses.Address, relayed: Relay, exchange: http_server.Exchange) -> None:
    conn = await tcp.make().dial(where, CONNECT_SECONDS)
    try:
        fields = header_lists.Headers().add(
            "x-request-id", exchange.request.headers.get("x-request-id")
        )
        await conn.send_request(message.Request("GET", "/", fields), str(where))
        await conn.read_response_head()
        await relayed(exchange, conn)
    finally:
        await conn.close()


def _fields() -> header_lists.Headers:
    return header_lists.Headers().add("content-type", "text/event-stream")


def _start(*args: str) -> subprocess.Popen[str]:
    root = pathlib.Path(__file__).resolve().parents[2]
    env = {**os.environ, "PYTHONPATH": str(root)}
    return subprocess.Popen(
        [sys.executable, "-m", _ENDS, *args], env=env, stdout=subprocess.PIPE, text=True
    )


def main() -> None:
    """Run from the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
