"""Stand-in for the platform's metadata store, as the page on the protocol describes it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
import urllib.parse
from collections import abc

import http_text

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 50
"""Items in a page; the site files set it, and the page on the protocol allows about 500 at most."""


SILENCE_SECONDS = 3600.0


class Store:
    """Objects by kind and name, with revisions, pages and watches.

    :ivar watched_at: when the last watch of each kind began.
    :ivar unread: time and request line of each call on a channel that is silent.
    :ivar after_page: called once a page has been answered, with the kind, the name after which the
        page began and whether more pages follow.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.objects: dict[str, dict[str, dict]] = {}
        self.log: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.page_items = PAGE_ITEMS
        self.after_page: abc.Callable[[str, str, bool], None] | None = None
        self.address = ""
        self._server: asyncio.Server | None = None
        self.watched_at: dict[str, float] = {}
        self.unread: list[tuple[float, str]] = []
        self._silenced = 0
        self._accepted = 0

    def silence_channels(self) -> int:
        """Let the channels that are open now go silent for good; return how many there were.

        They stay open, and nothing that is sent on them is read. New ones work.
        """
        self._silenced = self._accepted
        return self._silenced

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object, as its acknowledged writer does."""
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known["metadata"]["created_rev"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind][name] = stored
        self._record(kind, stored, False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._record(kind, stored, True)

    def _record(self, kind: str, stored: dict, deleted: bool) -> None:
        self.log.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._accepted += 1
        number = self._accepted
        try:
            while (req := await http_text.read_request(reader)) is not None:
                if number <= self._silenced:
                    self.unread.append((time.monotonic(), f"{req.method} {req.target}"))
                    await asyncio.sleep(SILENCE_SECONDS)
                await asyncio.sleep(ANSWER_SECONDS)
                status, value, after = await self._handle(req)
                if number <= self._silenced:
                    await asyncio.sleep(SILENCE_SECONDS)
                writer.write(
                    http_text.make_response(
                        status, json.dumps(value).encode(), {"Content-Type": "application/json"}
                    )
                )
                await writer.drain()
                if after is not None and self.after_page is not None:
                    self.after_page(*after)
        except OSError:
            pass
        finally:
            writer.close()

    async def _handle(self, req: http_text.Request) -> tuple[int, object, tuple | None]:
        query = dict(urllib.parse.parse_qsl(req.target.partition("?")[2]))
        kind, _, name = req.path.removeprefix("/objects/").partition("/")
        name = urllib.parse.unquote(name)
        if req.method == "GET" and "watch" in query:
            self.watched_at[kind] = time.monotonic()
            return 200, await self._watch(kind, int(query["watch"]), int(query["wait_ms"])), None
        if req.method == "GET" and name:
            stored = self.objects.get(kind, {}).get(name)
            return (200, stored, None) if stored else (404, {}, None)
        if req.method == "GET":
            return self._list(kind, query.get("after", ""))
        return (*self._write(req, kind, name, query), None)

    def _list(self, kind: str, after: str) -> tuple[int, object, tuple | None]:
        listed = [item for name, item in sorted(self.objects.get(kind, {}).items()) if name > after]
        has_more = len(listed) > self.page_items
        page = {"items": listed[: self.page_items], "has_more": has_more, "as_of": self.revision}
        return 200, page, (kind, after, has_more)

    def _write(
        self, req: http_text.Request, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, object]:
        body = json.loads(req.body) if req.body else {"metadata": {}}
        metadata = body["metadata"]
        name = name or metadata["name"]
        known = self.objects.get(kind, {}).get(name)
        if req.method == "POST" and known is not None:
            return 409, known
        if req.method != "POST" and known is None:
            return 404, {}
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if req.method == "DELETE":
            self.delete(kind, name)
            return 200, known
        if known is None or known["spec"] != body["spec"]:
            self.put(kind, name, body["spec"])
        return 200, self.objects[kind][name]

    async def _watch(self, kind: str, revision: int, wait_ms: int) -> object:
        def collect() -> list[dict]:
            return [
                {"object": stored, "deleted": deleted}
                for changed_at, changed_kind, stored, deleted in self.log
                if changed_at > revision and changed_kind == kind
            ]

        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_ms / 1000
        while not (events := collect()) and loop.time() < ends_at:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), ends_at - loop.time())
        return {"events": events, "as_of": self.revision}
