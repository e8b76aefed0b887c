"""Runs the source or the sink of a relay measurement as a process with plain sockets."""

from __future__ import annotations

import contextlib
import select
import socket
import sys
import time

import msgspec
from hdrh import histogram

from galenavane.net import address as addresses
from galenavane.target import completion

SEND_INTERVAL_SECONDS = 0.001
"""Pause between two bursts of due tokens."""
READ_BYTES = 65536
MAX_GAP_US = 10_000_000
"""Upper limit of the histogram of gaps, in microseconds."""
_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
)


class SinkResult(msgspec.Struct, frozen=True):
    """What the sink received in the measured window.

    :ivar tokens: number of tokens over all streams.
    :ivar gap_p50_ms: median time between two reads of a stream, in milliseconds.
    :ivar gap_p95_ms: 95th percentile of that time.
    :ivar gap_p99_ms: 99th percentile of that time.
    """

    tokens: int
    gap_p50_ms: float
    gap_p95_ms: float
    gap_p99_ms: float


def make_token_chunk(request_id: str, offset: int) -> bytes:
    """Return one token as an HTTP chunk, as the stand-in engine sends it."""
    choice = completion.ChunkChoice(text=f"1a2b-{offset} ")
    chunk = completion.Chunk(request_id, offset, [choice], model="scribe")
    event = b"data: " + msgspec.json.encode(chunk) + b"\n\n"
    return b"%x\r\n%b\r\n" % (len(event), event)


def serve_source(streams: int, tokens_per_second: float, seconds: float) -> None:
    """Print the port, accept all streams and send them tokens in turn.

    :param streams: number of streams.
    :param tokens_per_second: rate over all streams.
    """
    listener = socket.create_server(("127.0.0.1", 0), backlog=streams)
    print(listener.getsockname()[1], flush=True)
    conns = [_accept(listener) for _ in range(streams)]
    with contextlib.suppress(ConnectionError):
        _send_tokens(conns, tokens_per_second, seconds)


def _send_tokens(
    conns: list[tuple[socket.socket, str]], tokens_per_second: float, seconds: float
) -> None:
    started_at = time.monotonic()
    sent = 0
    while time.monotonic() < started_at + seconds:
        due = int((time.monotonic() - started_at) * tokens_per_second)
        while sent < due:
            conn, request_id = conns[sent % len(conns)]
            conn.sendall(make_token_chunk(request_id, sent // len(conns)))
            sent += 1
        time.sleep(SEND_INTERVAL_SECONDS)


def _accept(listener: socket.socket) -> tuple[socket.socket, str]:
    conn, _ = listener.accept()
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    head = b""
    while b"\r\n\r\n" not in head:
        head += conn.recv(READ_BYTES)
    lines = head.decode().lower().split("\r\n")
    request_id = next(line for line in lines if line.startswith("x-request-id:"))
    conn.sendall(_RESPONSE_HEAD)
    return conn, request_id.partition(":")[2].strip()


def read_sink(
    address: addresses.Address, streams: int, warm_up_seconds: float, seconds: float
) -> None:
    """Open the streams and print the result of the window after the warm-up as JSON.

    :param streams: number of streams.
    """
    poller = select.epoll()
    conns: dict[int, socket.socket] = {}
    for number in range(streams):
        conn = socket.create_connection((address.host, address.port))
        conn.sendall(b"GET / HTTP/1.1\r\nhost: relay\r\nx-request-id: r%d\r\n\r\n" % number)
        conns[conn.fileno()] = conn
        poller.register(conn.fileno(), select.EPOLLIN)
    gaps = histogram.HdrHistogram(1, MAX_GAP_US, 3)
    last_read_at: dict[int, float] = {}
    tokens = 0
    window_start = time.monotonic() + warm_up_seconds
    while (now := time.monotonic()) < window_start + seconds:
        for descriptor, _ in poller.poll(0.1):
            count = conns[descriptor].recv(READ_BYTES).count(b"data: ")
            now = time.monotonic()
            if now >= window_start and descriptor in last_read_at and count:
                tokens += count
                gaps.record_value(max(1, round((now - last_read_at[descriptor]) * 1e6)))
            last_read_at[descriptor] = now
    gap_percentiles_ms = [gaps.get_value_at_percentile(percent) / 1000 for percent in (50, 95, 99)]
    print(msgspec.json.encode(SinkResult(tokens, *gap_percentiles_ms)).decode(), flush=True)


def main() -> None:
    """Run one end: ``source STREAMS RATE SECONDS`` or ``sink ADDRESS STREAMS WARM SECONDS``."""
    role, *rest = sys.argv[1:]
    if role == "source":
        serve_source(int(rest[0]), float(rest[1]), float(rest[2]))
    else:
        read_sink(addresses.parse(rest[0]), int(rest[1]), float(rest[2]), float(rest[3]))


if __name__ == "__main__":
    main()
