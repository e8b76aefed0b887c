"""Callers that keep sending, some over connections that they hold open."""

from __future__ import annotations

import dataclasses
import random

import h11
import trio
from steps import platform_world

from fault_soak import records
from galenavane.net import address, http_connection, tcp, transport_error

THINK_SECONDS = 0.05
PATIENCE_SECONDS = 8.0
KEEP_SHARE = 0.7
"""Requests after which a caller keeps its connection."""
LEAVE_SHARE = 0.1
"""Streams that a caller leaves in the middle."""


@dataclasses.dataclass(slots=True)
class Caller:
    """One caller, at one entry at a time."""

    rng: random.Random
    entries: list
    sent: list[records.Sent]
    keys: list[str]
    conn: http_connection.HttpConnection | None = None
    at_entry: str = ""

    async def run(self, until: float) -> None:
        """Send one request after the other."""
        while trio.current_time() < until:
            await self._send_one()
            await trio.sleep(self.rng.uniform(0, 2 * THINK_SECONDS))
        await self._drop()

    async def _drop(self) -> None:
        if self.conn is not None:
            await self.conn.close()
        self.conn = None

    async def _send_one(self) -> None:
        kind = self.rng.choice(["stream", "stream", "order", "status"])
        made = records.Sent(f"{self.rng.getrandbits(64):x}", kind, "", trio.current_time())
        made.key = self.rng.choice(self.keys)
        made.expected = self.rng.randrange(3, 40) if kind == "stream" else 0
        self.sent.append(made)
        try:
            with trio.fail_after(PATIENCE_SECONDS):
                await self._exchange(made)
        except trio.TooSlowError:
            made.note = "no end in time"
            await self._drop()
        except (transport_error.TransportError, h11.ProtocolError, OSError) as exc:
            made.note = type(exc).__name__
            await self._drop()
        made.ended_at = trio.current_time()

    async def _exchange(self, made: records.Sent) -> None:
        if self.conn is None:
            entry = self.rng.choice(self.entries)
            self.at_entry = f"{entry.name}/{entry.lives}"
            self.conn = await tcp.make().dial(entry.callers, 1.0)
        made.entry = self.at_entry
        conn = self.conn
        await conn.send(make_head(made), h11.EndOfMessage())
        found = await conn.read_response_head()
        is_left = made.expected > 0 and self.rng.random() < LEAVE_SHARE
        leave_at = self.rng.randrange(made.expected) if is_left else -1
        body = b""
        while isinstance(part := await conn.next_event(), h11.Data):
            body += part.data
            if made.kind == "stream" and found.status == 200:
                made.events = read_events(body)
                if 0 <= leave_at <= len(made.events):
                    made.status, made.note = found.status, "left"
                    await self._drop()
                    return
        made.status = found.status
        made.is_whole = isinstance(part, h11.EndOfMessage)
        machine = conn.machine
        is_done = machine.our_state is h11.DONE and machine.their_state is h11.DONE
        if is_done and self.rng.random() < KEEP_SHARE:
            machine.start_next_cycle()
        else:
            await self._drop()


def make_head(made: records.Sent) -> h11.Request:
    """Return the head of a request."""
    path = {"stream": "/model/x", "order": "/order/x", "status": "/status/x"}.get(made.kind)
    fields = [
        (b"host", b"h.example"),
        (b"attempt-id", made.attempt.encode()),
        (b"deadline-ms", b"7000"),
        (b"content-length", b"0"),
    ]
    if made.key:
        fields.append((b"authorization", b"Bearer " + made.key.encode()))
    if made.kind == "stream":
        fields.append((b"model", platform_world.MODEL.encode()))
        fields.append((b"token-usage", b"10,%d" % made.expected))
    method = "POST" if made.kind in ("stream", "order") else "GET"
    return h11.Request(method=method, target=path or made.kind, headers=fields)


def read_events(body: bytes) -> list[int]:
    """Return the numbers of the whole events of a stream."""
    whole = body.split(b"\n\n")[:-1]
    return [int(one.split(b"\n")[0].removeprefix(b"id: ")) for one in whole]


async def ask(where: address.Address, path: str, seconds: float = 1.0) -> int:
    """Return the status of one request without a key; 0 for none."""
    made = records.Sent(f"{random.getrandbits(64):x}", path, "", 0.0)
    try:
        with trio.fail_after(seconds):
            conn = await tcp.make().dial(where, seconds)
            try:
                await conn.send(make_head(made), h11.EndOfMessage())
                return (await conn.read_response_head()).status
            finally:
                await conn.close()
    except (trio.TooSlowError, transport_error.TransportError, h11.ProtocolError, OSError):
        return 0
