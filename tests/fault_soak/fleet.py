"""The platform on loopback, with a relay on every path that can be disturbed."""

from __future__ import annotations

import msgspec
import trio
from steps import platform_world

from fault_soak import entry, ports, records
from galenavane.net import address, message, tcp
from galenavane.standin import link

LAPSE_SECONDS = 3.6
"""Entries of targets that died are removed after three heartbeats of 1.2 s."""


class Relay:
    """A loopback relay in front of one address."""

    def __init__(self) -> None:
        self.listen = ports.free_address()
        self.control = ports.free_address()

    async def run(self, to: address.Address, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Relay until cancelled."""
        await link.run(tcp.make(), self.listen, to, self.control, task_status=task_status)

    async def switch(self, faults: link.Faults) -> None:
        """Put faults in force."""
        body = msgspec.json.encode(faults)
        conn = await tcp.make().dial(self.control, 1.0)
        await conn.send_request(message.Request("POST", "/faults", body=body), str(self.control))
        await conn.read_response_head()
        await conn.close()


class Store(platform_world.Store):
    """A store that can lose its history."""

    def __init__(self) -> None:
        super().__init__()
        self.forgotten = 0

    def forget(self) -> None:
        """Discard the history so far."""
        self.forgotten = self.revision
        self.log.clear()

    async def _watch(self, exchange, kind, revision, wait_ms):
        if revision < self.forgotten:
            await exchange.respond(message.Response(410))
            return
        await super()._watch(exchange, kind, revision, wait_ms)


class Target(platform_world.Target):
    """A target behind a relay, which remembers what it ran."""

    relay: Relay

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Listen until killed; the relay ends with the target."""
        self.relay = Relay()
        async with trio.open_nursery() as nursery:
            self.scope = nursery.cancel_scope
            own = address.Address(platform_world.HOST, 0)
            found = await nursery.start(tcp.make().listen, own, self.handle)
            await nursery.start(self.relay.run, found)
            self.where = str(self.relay.listen)
            self.publish()
            task_status.started()

    async def handle(self, exchange):
        """Note who asked, then answer."""
        fields = exchange.request.headers
        attempt = fields.get("attempt-id")
        if attempt:
            now = trio.current_time()
            found = records.Arrival(attempt, self.name, fields.get("tenant") or "", now)
            self.world.ledger.append(found)
        await super().handle(exchange)

    async def _obey(self, exchange, order):
        if order["operation"] == "join" and self._is_taken(order):
            text = f"{self.name} from {self.group['name']} for {order['group']}"
            self.world.taken.append(text)
        await super()._obey(exchange, order)

    def _is_taken(self, order):
        """Whether an order takes this target from a group that serves."""
        held = self.group
        if held is None or held["name"].startswith("standby") or held["name"] == order["group"]:
            return False
        head = self.world.targets.get(self.members[0]) if self.members else None
        is_same = head is not None and head.group is not None
        is_same = is_same and head.group["name"] == held["name"]
        return is_same and head.group["state"] == "open" and head.name in self.world.alive


class Fleet(platform_world.World):
    """All of it, with entries as processes."""

    def __init__(self, nursery, folder):
        super().__init__(nursery, folder)
        self.store = Store()
        self.ledger = []
        self.taken = []
        self.left = []
        self.revoked = {}
        self.keys = [platform_world.KEY, "key-2", "key-3"]
        self.entries = []
        self.store_relays = {}
        self.fixed_routes = list(self.routes)

    def publish_version(self):
        """Write a configuration whose route shows which one is in force."""
        shown = f"/v{self.version + 1}/"
        self.routes = [*self.fixed_routes, self.route(shown, "idempotent", "desk", public=True)]
        self.publish_config([one for one in self.keys if one not in self.revoked])

    async def add_target(self, name, service, domain=""):
        """Start a target."""
        made = self.targets[name] = Target(self, name, service, domain)
        self.alive.add(name)
        await self.nursery.start(made.run)

    async def start(self, domains, size, places):
        """Start the platform, then the entries, and wait until they serve."""
        own = address.Address(platform_world.HOST, 0)
        where = await self.nursery.start(tcp.make().listen, own, self.store.handle)
        self.publish_version()
        for domain in range(domains):
            for number in range(size):
                await self.add_target(f"t{domain}-{number}", "llm", f"d{domain}")
        for number in range(3):
            await self.add_target(f"p{number}", "desk")
        for number, place in enumerate(places):
            relay = self.store_relays[f"e{number}"] = Relay()
            await self.nursery.start(relay.run, where)
            made = entry.Entry(f"e{number}", place, relay.listen, self.folder)
            self.entries.append(made)
            made.start()

    def lapse(self, target, born):
        """Remove the entry of a target that died, unless it is back."""
        listed = self.store.objects["servers"].get(target.name)
        if listed is not None and listed["spec"]["born"] == born:
            self.store.put("servers", target.name, None)
