"""Callers that send requests continuously, often over kept-alive connections."""

from __future__ import annotations

import dataclasses
import random

import h11
import trio
from steps import platform_world

from fault_soak import records
from galenavane.net import address, http_connection, tcp, transport_error

MEAN_PAUSE_SECONDS = 0.05
REQUEST_TIMEOUT_SECONDS = 8.0
DEADLINE_SECONDS = 7.0
"""Time that a caller gives the entry."""
ABANDON_PROBABILITY = 0.1
"""Share of streams that a caller abandons before the end."""
PATHS = {"stream": "/model/x", "once": "/once/x", "order": "/order/x", "status": "/status/x"}


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller, connected to one entry at a time.

    :ivar entries: entries to choose from for each new connection.
    :ivar sent_requests: records of all requests, shared by the callers of a run.
    :ivar keys: API keys to choose from for each request.
    :ivar kinds: kinds of requests to choose from.
    :ivar longest_stream: number of events that each stream stays below.
    :ivar keep_alive_probability: share of completed requests after which the connection is kept.
    :ivar entry_run: name and start count of the entry at the other end of ``conn``.
    :ivar sent_count: number of requests sent on ``conn``.
    """

    rng: random.Random
    entries: list
    sent_requests: list[records.SentRequest]
    keys: list[str]
    kinds: tuple[str, ...] = ("stream", "stream", "order", "status")
    longest_stream: int = 40
    keep_alive_probability: float = 0.7
    conn: http_connection.HttpConnection | None = None
    entry_run: str = ""
    sent_count: int = 0

    async def run(self, ends_at: float) -> None:
        """Send requests one after the other.

        :param ends_at: time on trio's clock after which no further request starts.
        """
        while trio.current_time() < ends_at:
            await self._send_one()
            await trio.sleep(self.rng.uniform(0, 2 * MEAN_PAUSE_SECONDS))
        await self._close_connection()

    async def _close_connection(self) -> None:
        if self.conn is not None:
            await self.conn.close()
        self.conn = None

    async def _send_one(self) -> None:
        kind = self.rng.choice(self.kinds)
        request = records.SentRequest(
            f"{self.rng.getrandbits(64):x}", kind, "", trio.current_time()
        )
        request.key = self.rng.choice(self.keys)
        if kind in records.STREAM_KINDS:
            request.expected = self.rng.randrange(3, self.longest_stream)
        self.sent_requests.append(request)
        try:
            with trio.fail_after(REQUEST_TIMEOUT_SECONDS):
                await self._exchange(request)
        except trio.TooSlowError:
            request.note = "timeout"
            await self._close_connection()
        except (transport_error.TransportError, h11.ProtocolError, OSError) as exc:
            request.note = type(exc).__name__
            if self.conn is not None and self.conn.machine.trailing_data[0]:
                request.has_bytes = True
            await self._close_connection()
        request.ended_at = trio.current_time()

    async def _exchange(self, request: records.SentRequest) -> None:
        if self.conn is None:
            entry = self.rng.choice(self.entries)
            self.entry_run = f"{entry.name}/{entry.start_count}"
            self.conn = await tcp.make().dial(entry.caller_address, 1.0)
            self.sent_count = 0
        request.entry_run = self.entry_run
        request.is_reused = self.sent_count > 0
        self.sent_count += 1
        conn = self.conn
        await conn.send(make_request_head(request), h11.EndOfMessage())
        request.sent_at = trio.current_time()
        response = await conn.read_response_head()
        request.has_bytes = True
        is_abandoned = request.expected > 0 and self.rng.random() < ABANDON_PROBABILITY
        abandon_after = self.rng.randrange(request.expected) if is_abandoned else -1
        body = b""
        while isinstance(part := await conn.next_event(), h11.Data):
            body += part.data
            if request.expected > 0 and response.status == 200:
                request.events = parse_event_numbers(body)
                if 0 <= abandon_after <= len(request.events):
                    request.status, request.note = response.status, "left"
                    await self._close_connection()
                    return
        request.status = response.status
        request.is_complete = isinstance(part, h11.EndOfMessage)
        machine = conn.machine
        is_exchange_done = machine.our_state is h11.DONE and machine.their_state is h11.DONE
        if is_exchange_done and self.rng.random() < self.keep_alive_probability:
            machine.start_next_cycle()
        else:
            await self._close_connection()


def make_request_head(request: records.SentRequest) -> h11.Request:
    """Return the head of a request; a kind other than those of callers is used as path."""
    path = PATHS.get(request.kind)
    headers = [
        (b"host", b"h.example"),
        (b"attempt-id", request.attempt.encode()),
        (b"deadline-ms", b"%d" % round(DEADLINE_SECONDS * 1000)),
        (b"content-length", b"0"),
    ]
    if request.key:
        headers.append((b"authorization", b"Bearer " + request.key.encode()))
    if request.kind in records.STREAM_KINDS:
        headers.append((b"model", platform_world.MODEL.encode()))
        headers.append((b"token-usage", b"10,%d" % request.expected))
    method = "POST" if request.kind in ("stream", "once", "order") else "GET"
    return h11.Request(method=method, target=path or request.kind, headers=headers)


def parse_event_numbers(body: bytes) -> list[int]:
    """Return the numbers of the complete events of a stream."""
    complete_events = body.split(b"\n\n")[:-1]
    return [int(event.split(b"\n")[0].removeprefix(b"id: ")) for event in complete_events]


async def fetch_status(entry_address: address.Address, path: str, seconds: float = 1.0) -> int:
    """Send one request without a key; return its HTTP status, or 0 without a response."""
    request = records.SentRequest(f"{random.getrandbits(64):x}", path, "", 0.0)
    try:
        with trio.fail_after(seconds):
            conn = await tcp.make().dial(entry_address, seconds)
            try:
                await conn.send(make_request_head(request), h11.EndOfMessage())
                return (await conn.read_response_head()).status
            finally:
                await conn.close()
    except (trio.TooSlowError, transport_error.TransportError, h11.ProtocolError, OSError):
        return 0
