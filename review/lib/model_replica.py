"""Stand-in for a replica of a model service, which joins groups as the page on the protocol says."""

from __future__ import annotations

import asyncio
import json

import http_text
import replica as replicas
import store as stores

JOIN_SECONDS = 0.2
LOAD_SECONDS = 1.2
"""Load of a model's weights before the first request, a tenth of the time of a later one."""
FORM_SECONDS = 0.3
"""``form_ms`` of the site."""


class ModelReplica(replicas.Replica):
    """A replica that takes orders, and serves streams as the head of an open group."""

    def __init__(
        self, store: stores.Store, replica_id: str, service: str, model: str, domain: str
    ) -> None:
        super().__init__(store, replica_id, service, 0.0)
        self.model = model
        self.domain = domain
        self.group: dict | None = None
        self.sequence = 0
        self.highest_epoch = 0
        self.members: list[str] = []
        self.staged: list[str] = []
        self.has_model = False
        self._tasks: set[asyncio.Task] = set()

    def describe(self, state: str) -> dict:
        """Return the entry, with what only replicas of models report."""
        models = [{"name": self.model, "version": 1, "adapters": []}] if self.has_model else []
        return {
            **super().describe(state),
            "slots": 13,
            "stage": "both",
            "models": models,
            "domain": self.domain,
            "staged": self.staged,
            "group": self.group,
            "sequence": self.sequence,
        }

    async def _handle(self, req: http_text.Request, writer: asyncio.StreamWriter) -> None:
        if req.headers.get("expect-replica", self.id) != self.id:
            writer.write(http_text.make_response(421))
        elif req.path == "/report":
            report = {
                **self.describe("ready"),
                "busy": False,
                "waiting": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 1_235_000,
                "handles": 0,
                "pace": 1.0,
            }
            writer.write(http_text.make_response(200, json.dumps(report).encode()))
        elif req.path == "/order":
            writer.write(http_text.make_response(self._take_order(json.loads(req.body))))
        elif self.group is None or self.group["rank"] > 0:
            writer.write(http_text.make_response(421))
        elif self.group["state"] != "open":
            writer.write(http_text.make_response(503, fields={"Not-Executed": "1"}))
        else:
            await super()._handle(req, writer)

    def _take_order(self, order: dict) -> int:
        operation = order["operation"]
        key = (order.get("group"), order.get("epoch"))
        own_key = (self.group["name"], self.group["epoch"]) if self.group else None
        if operation == "stage":
            if order["model"] in self.staged:
                return 200
            self.sequence += 1
            self._later(LOAD_SECONDS, lambda: self._keep(order["model"]))
            return 202
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        if operation == "join":
            return self._join(order, key, own_key)
        if key != own_key:
            return 200 if operation == "leave" else 409
        self.sequence += 1
        if operation == "leave":
            self.group = None
            self.publish("ready")
        elif operation == "open":
            if self.group["state"] != "ready":
                self.sequence -= 1
                return 200 if self.group["state"] == "open" else 409
            self._later(FORM_SECONDS, lambda: self._become(key, "open"))
        else:
            self._become(key, "ready")
        return 202

    def _join(self, order: dict, key: tuple, own_key: tuple | None) -> int:
        if key[1] < self.highest_epoch or (key == own_key and order["members"] != self.members):
            return 412
        if key == own_key:
            return 200
        self.sequence += 1
        self.highest_epoch = key[1]
        self.members = order["members"]
        rank = self.members.index(self.id)
        self.group = {"name": key[0], "epoch": key[1], "rank": rank, "state": "joining"}
        seconds = JOIN_SECONDS if self.has_model else LOAD_SECONDS
        self.publish("ready")
        self._later(seconds, lambda: self._become(key, "ready"))
        return 202

    def _keep(self, model: str) -> None:
        self.staged = [model]
        self.publish("ready")

    def _become(self, key: tuple, state: str) -> None:
        if self.group is not None and (self.group["name"], self.group["epoch"]) == key:
            self.group = {**self.group, "state": state}
            self.has_model = True
            self.staged = [self.model]
            self.publish("ready")

    def _later(self, seconds: float, action) -> None:
        async def run() -> None:
            await asyncio.sleep(seconds)
            action()

        task = asyncio.create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
