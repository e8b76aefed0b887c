"""Compares the processor time per token of the entry's relay with that of a naive one.

The row ``direct`` has no relay and shows the gaps that source and sink cause themselves.

Run ``python -m galenavane.experiment.relay``.
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

WARM_UP_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 5.0
STREAM_TIMEOUT_SECONDS = 60.0
DIRECT = "direct"
_ENDS_MODULE = "galenavane.experiment.relay_ends"


@dataclasses.dataclass(slots=True, frozen=True)
class Measurement:
    """Result of measuring one relay.

    :ivar cpu_us_per_token: processor time of the relaying process per token, in microseconds.
    :ivar core_share: share of one core that the relaying process used, from 0 to 1.
    """

    name: str
    cpu_us_per_token: float
    core_share: float
    sink_result: relay_ends.SinkResult


async def relay_naively(
    exchange: http_server.Exchange, conn: http_connection.HttpConnection
) -> None:
    """Relay with one task per stream and one write per parsed event."""
    await exchange.start_stream(200, _make_headers())
    reader = sse.EventReader(conn)
    while True:
        data = await reader.next_data()
        if data is None or data == sse.DONE:
            await exchange.end_stream()
            return
        await exchange.send_chunk(b"data: " + data + b"\n\n")


async def relay_as_entry(
    exchange: http_server.Exchange, conn: http_connection.HttpConnection
) -> None:
    """Relay with the same code as an entry."""
    state = stream_state.StreamState(exchange.request.headers.get("x-request-id"))
    state.begin_try()
    frame_chunk = functools.partial(exchange.frame_chunk, _make_headers())
    output_filter = completion_filter.CompletionFilter(conn.machine, state, frame_chunk)
    deadlines = stream_filter.Deadlines(
        STREAM_TIMEOUT_SECONDS, STREAM_TIMEOUT_SECONDS, STREAM_TIMEOUT_SECONDS
    )
    await relay.run(conn, exchange.conn, output_filter, deadlines)
    await exchange.end_stream(b"data: [DONE]\n\n")


RelayFunction = abc.Callable[
    [http_server.Exchange, http_connection.HttpConnection], abc.Awaitable[None]
]
_RELAYS: dict[str, RelayFunction] = {"naive": relay_naively, "present": relay_as_entry}


def run(
    *, streams: int = 600, rate: float = 13_200.0, seconds: float = 8.0, rounds: int = 2
) -> None:
    """Print a table of the relays, which are measured in turn.

    :param streams: number of concurrent streams.
    :param rate: tokens per second over all streams.
    :param seconds: duration of each measurement.
    :param rounds: number of measurements of each relay.
    """
    print(f"{streams} streams, {rate:.0f} tokens/s offered, one token a read")
    print("relay    us/token  of a core  tokens/s  gap p50 ms  p95 ms  p99 ms")
    for _ in range(rounds):
        for name in (DIRECT, *_RELAYS):
            measurement = trio.run(_measure, name, streams, rate, seconds)
            sink_result = measurement.sink_result
            print(
                f"{name:8} {measurement.cpu_us_per_token:8.1f}  {measurement.core_share:9.2f}  "
                f"{sink_result.tokens / seconds:8.0f}  {sink_result.gap_p50_ms:10.1f}  "
                f"{sink_result.gap_p95_ms:6.1f}  {sink_result.gap_p99_ms:6.1f}",
                flush=True,
            )


async def _measure(name: str, streams: int, rate: float, seconds: float) -> Measurement:
    source_seconds = WARM_UP_SECONDS + seconds + 2
    source = _start_process("source", str(streams), str(rate), str(source_seconds))
    assert source.stdout is not None
    port = int(await trio.to_thread.run_sync(source.stdout.readline))
    async with trio.open_nursery() as nursery:
        address = addresses.Address("127.0.0.1", port)
        if name != DIRECT:
            serve = functools.partial(_relay_exchange, address, _RELAYS[name])
            any_port = addresses.Address("127.0.0.1", 0)
            address = await nursery.start(tcp.make().listen, any_port, serve)
        sink = _start_process(
            "sink", str(address), str(streams), str(WARM_UP_SECONDS), str(seconds)
        )
        await trio.sleep(WARM_UP_SECONDS)
        cpu_seconds, started_at = time.process_time(), time.monotonic()
        await trio.sleep(seconds)
        cpu_seconds, elapsed = time.process_time() - cpu_seconds, time.monotonic() - started_at
        assert sink.stdout is not None
        sink_result = msgspec.json.decode(
            await trio.to_thread.run_sync(sink.stdout.readline), type=relay_ends.SinkResult
        )
        nursery.cancel_scope.cancel()
    for process in (source, sink):
        process.wait()
    return Measurement(
        name, cpu_seconds / max(1, sink_result.tokens) * 1e6, cpu_seconds / elapsed, sink_result
    )


async def _relay_exchange(
    source_address: addresses.Address, relay_stream: RelayFunction, exchange: http_server.Exchange
) -> None:
    conn = await tcp.make().dial(source_address, CONNECT_TIMEOUT_SECONDS)
    try:
        request_headers = header_lists.Headers().add(
            "x-request-id", exchange.request.headers.get("x-request-id")
        )
        await conn.send_request(message.Request("GET", "/", request_headers), str(source_address))
        await conn.read_response_head()
        await relay_stream(exchange, conn)
    finally:
        await conn.close()


def _make_headers() -> header_lists.Headers:
    return header_lists.Headers().add("content-type", "text/event-stream")


def _start_process(*args: str) -> subprocess.Popen[str]:
    root = pathlib.Path(__file__).resolve().parents[2]
    env = {**os.environ, "PYTHONPATH": str(root)}
    return subprocess.Popen(
        [sys.executable, "-m", _ENDS_MODULE, *args], env=env, stdout=subprocess.PIPE, text=True
    )


def main() -> None:
    """Run from the command line."""
    defopt.run(run)


if __name__ == "__main__":
    main()
