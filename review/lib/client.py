"""Stand-in for clients: they send requests to an entry and record what they get."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time

import http_text

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


@dataclasses.dataclass
class Sent:
    """A request and what came of it; times are monotonic seconds.

    :ivar ended: when the answer was complete or the channel ended.
    """

    attempt: str
    entry: str
    path: str
    sent_at: float
    response: http_text.Response
    ended: float = 0.0


def make_request(
    method: str, path: str, attempt: str, deadline_ms: int, extra: dict[str, str], body: bytes
) -> bytes:
    """Return a request as clients send it."""
    fields = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        **extra,
    }
    if method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Channel:
    """A channel to an entry, kept for many requests."""

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        extra: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Sent:
        """Send a request and read its answer; a channel that ended is opened anew first."""
        attempt = f"{random.getrandbits(64):016x}"
        sent = Sent(attempt, self.name, path, time.monotonic(), http_text.Response())
        try:
            if self._writer is None:
                host, _, port = self.address.rpartition(":")
                self._reader, self._writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)), 1.0
                )
            sent.sent_at = time.monotonic()
            self._writer.write(make_request(method, path, attempt, deadline_ms, extra or {}, body))
            await self._writer.drain()
            reading = http_text.read_response(self._reader, sent.response)
            await asyncio.wait_for(reading, deadline_ms / 1000 + 0.5)
        except (TimeoutError, ConnectionError, OSError):
            pass
        sent.ended = time.monotonic()
        is_kept = sent.response.headers.get("connection", "").lower() != "close"
        if not sent.response.is_complete or not is_kept:
            self.close()
        return sent

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            with contextlib.suppress(ConnectionError, OSError):
                self._writer.close()
        self._reader = self._writer = None


async def fetch_status(address: str, path: str) -> int:
    """Return the status of one request without an id; 0 without an answer."""
    response = http_text.Response()
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n".encode())
        await asyncio.wait_for(http_text.read_response(reader, response), 1.0)
        writer.close()
    except (TimeoutError, ConnectionError, OSError):
        return 0
    return response.status
