"""Stand-in for a replica of a plain service, as the page on the protocol describes it."""

from __future__ import annotations

import asyncio
import time
from collections import abc

import http_text
import store as stores


class Replica:
    """A replica that registers itself, serves requests and may announce that it leaves.

    :ivar arrivals: time, attempt id and headers of each request that it has begun to run.
    :ivar make_answer: writes the answer to a request.
    """

    def __init__(
        self, store: stores.Store | None, replica_id: str, service: str, work_seconds: float
    ) -> None:
        self.store = store
        self.id = replica_id
        self.service = service
        self.work_seconds = work_seconds
        self.born = int(time.time() * 1000)
        self.arrivals: list[tuple[float, str, dict[str, str]]] = []
        self.ended: dict[str, float] = {}
        self.make_answer: abc.Callable[..., abc.Awaitable[None]] = self._answer
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        self.publish("ready")

    def publish(self, state: str) -> None:
        """Write the entry; the store acknowledges it at once."""
        if self.store is not None:
            self.store.put("servers", self.id, self.describe(state))

    def describe(self, state: str) -> dict:
        """Return the entry as the page on service discovery lists its fields."""
        return {
            "backend": self.service,
            "address": self.address,
            "zone": "makole",
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    def leave(self) -> None:
        """Stop listening and remove the entry."""
        if self._server is not None:
            self._server.close()
        if self.store is not None:
            self.store.delete("servers", self.id)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (req := await http_text.read_request(reader)) is not None:
                await self._handle(req, writer)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _handle(self, req: http_text.Request, writer: asyncio.StreamWriter) -> None:
        if req.headers.get("expect-replica", self.id) != self.id:
            writer.write(http_text.make_response(421))
            return
        if req.path == "/healthz":
            writer.write(http_text.make_response(200, fields={"Replica-Id": self.id}))
            return
        attempt = req.headers.get("attempt-id", "")
        if not attempt:
            writer.write(http_text.make_response(400, fields={"Not-Executed": "1"}))
            return
        self.arrivals.append((time.monotonic(), attempt, req.headers))
        await self.make_answer(req, writer)
        self.ended[attempt] = time.monotonic()

    def answer_fields(self, req: http_text.Request) -> dict[str, str]:
        """Return the fields with which a replica marks its own answers."""
        return {
            "Attempt-Id": req.headers["attempt-id"],
            "Replica-Signature": f"{self.id}.{req.headers['attempt-id']}",
        }

    async def _answer(self, req: http_text.Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.work_seconds)
        writer.write(http_text.make_response(200, b"done " * 160, self.answer_fields(req)))
