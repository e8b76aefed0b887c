"""Platform, targets and entries on loopback, with proxies that inject network faults."""

from __future__ import annotations

import msgspec
import trio
from steps import platform_world

from fault_soak import entry, ports, records
from galenavane.net import address, message, tcp
from galenavane.standin import tcp_proxy

SERVING_STATES = ("open", "closing")
SECOND_SERVICE = "desk2"
EXPIRY_SECONDS = 3.6
"""The platform removes a dead target after three missed heartbeats of 1.2 s."""


class Proxy:
    """A loopback proxy in front of one address.

    :ivar listen: address that accepts the connections to forward.
    :ivar control: address that accepts calls that set the faults.
    """

    def __init__(self) -> None:
        self.listen = ports.free_address()
        self.control = ports.free_address()

    async def run(
        self, target_address: address.Address, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward connections until cancelled."""
        await tcp_proxy.run(
            tcp.make(), self.listen, target_address, self.control, task_status=task_status
        )

    async def set_faults(self, faults: tcp_proxy.Faults) -> None:
        """Replace the faults of the proxy."""
        body = msgspec.json.encode(faults)
        conn = await tcp.make().dial(self.control, 1.0)
        await conn.send_request(message.Request("POST", "/faults", body=body), str(self.control))
        await conn.read_response_head()
        await conn.close()


class Store(platform_world.Store):
    """A store that can discard its history.

    :ivar compacted_revision: watches from an older revision fail with 410.
    """

    def __init__(self) -> None:
        super().__init__()
        self.compacted_revision = 0

    def compact(self) -> None:
        """Discard the history so far."""
        self.compacted_revision = self.revision
        self.log.clear()

    async def _watch(self, exchange, kind, revision, wait_ms):
        if revision < self.compacted_revision:
            await exchange.respond(message.Response(410))
            return
        await super()._watch(exchange, kind, revision, wait_ms)


class Target(platform_world.Target):
    """A target behind a proxy that records the requests that it ran.

    :ivar paused_until: end of its last pause.
    :ivar open_requests: number of requests that it has not answered completely.
    """

    proxy: Proxy
    paused_until = 0.0
    open_requests = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Listen until killed; the proxy stops with the target."""
        self.proxy = Proxy()
        async with trio.open_nursery() as nursery:
            self.scope = nursery.cancel_scope
            listen_address = address.Address(platform_world.HOST, 0)
            bound_address = await nursery.start(tcp.make().listen, listen_address, self.handle)
            await nursery.start(self.proxy.run, bound_address)
            self.published_address = str(self.proxy.listen)
            self.publish()
            task_status.started()

    async def handle(self, exchange):
        """Record the request, then answer it."""
        headers = exchange.request.headers
        attempt = headers.get("attempt-id")
        if not attempt:
            await super().handle(exchange)
            return
        now = trio.current_time()
        account = headers.get("tenant") or ""
        arrival = records.Arrival(attempt, self.name, account, now, born=self.born)
        self.world.ledger.append(arrival)
        self.open_requests += 1
        if self.says_leaving:
            self.world.notices.append(records.Notice(attempt, self.name, self.born, now))
        try:
            await super().handle(exchange)
        finally:
            self.open_requests -= 1
            arrival.ended_at = max(trio.current_time(), self.paused_until)

    async def _turn_away(self, exchange):
        wait_seconds = float(self.asks_to_wait or 0)
        is_turned_away = await super()._turn_away(exchange)
        if is_turned_away:
            attempt = exchange.request.headers.get("attempt-id")
            now = trio.current_time()
            notice = records.Notice(attempt, self.name, self.born, now, wait_seconds)
            self.world.notices.append(notice)
            refused = [
                arrival
                for arrival in self.world.ledger
                if (arrival.attempt, arrival.target) == (attempt, self.name)
            ]
            self.world.ledger.remove(refused[-1])
            self.world.turned_away.append(refused[-1])
        return is_turned_away

    def has_work(self):
        """Return whether this target, or the head of its group, has requests or is paused."""
        head = self.world.targets.get(self.members[0]) if self.group and self.members else None
        concerned = [self] if head is None else [self, head]
        now = trio.current_time()
        return any(target.open_requests or now < target.paused_until for target in concerned)

    async def _execute_command(self, exchange, order):
        is_join = order["operation"] == "join" and order["epoch"] >= self.highest_epoch
        if is_join and self._is_taken_from_serving_group(order):
            text = f"{self.name} from {self.group['name']} for {order['group']}"
            self.world.taken_targets.append(text)
        if order["operation"] == "close" and self._may_close(order):
            await self._close(exchange)
        else:
            await super()._execute_command(exchange, order)

    def _may_close(self, order):
        """Return whether an order closes this head's group, which first ends its requests."""
        if self.group is None or self.group["state"] not in SERVING_STATES:
            return False
        is_expected = order.get("expected", self.command_count) == self.command_count
        return is_expected and (order["group"], order["epoch"]) == self._group_key()

    def _group_key(self):
        return (self.group["name"], self.group["epoch"])

    async def _close(self, exchange):
        if self.group["state"] == "open":
            self.group["state"] = "closing"
            self.world.nursery.start_soon(self._end_closing, self._group_key())
        self.command_count += 1
        self.publish()
        await exchange.respond(message.Response(202))

    async def _end_closing(self, group_key):
        while self.open_requests:
            await trio.sleep(platform_world.EVENT_SECONDS)
        if self.group is not None and self._group_key() == group_key:
            await self._become(group_key, "ready", 0.0)

    def _is_taken_from_serving_group(self, order):
        """Return whether an order takes this target from a serving group."""
        current_group = self.group
        if (
            current_group is None
            or current_group["name"].startswith("standby")
            or current_group["name"] == order["group"]
        ):
            return False
        head = self.world.targets.get(self.members[0]) if self.members else None
        is_member = head is not None and head.group is not None
        is_member = is_member and head.group["name"] == current_group["name"]
        return is_member and head.group["state"] in SERVING_STATES and head.name in self.world.alive


class Fleet(platform_world.World):
    """The whole deployment, with entries as separate processes.

    :ivar ledger: requests that arrived at targets.
    :ivar notices: what targets said about further requests.
    :ivar turned_away: requests that arrived at targets and were refused at once.
    :ivar taken_targets: descriptions of targets that were taken from a serving group.
    :ivar departures: name of each target that left, when it announced that, and when it ended.
    :ivar revoked_at: time of removal by API key.
    :ivar stopped_at: time of SIGTERM by name and start count of the entry process.
    :ivar shortest_timeout_seconds: shortest timeout of a route so far.
    :ivar extra_routes: routes that were added later.
    """

    def __init__(self, nursery, folder, has_second_service=False):
        super().__init__(nursery, folder)
        self.has_second_service = has_second_service
        self.store = Store()
        self.ledger = []
        self.taken_targets = []
        self.notices = []
        self.turned_away = []
        self.departures = []
        self.revoked_at = {}
        self.stopped_at = {}
        self.shortest_timeout_seconds = min(route["timeout_ms"] for route in self.routes) / 1000
        self.extra_routes = []
        self.keys = [platform_world.KEY, "key-2", "key-3"]
        self.entries = []
        self.store_proxies = {}
        self.fixed_routes = list(self.routes)

    def add_routes(self, count):
        """Add routes to the next configuration."""
        first = len(self.extra_routes)
        self.extra_routes += [
            self.route(f"/extra{number}/", "idempotent", "desk")
            for number in range(first, first + count)
        ]

    def move_route(self, path_prefix):
        """Let the other plain service serve a route in the next configuration."""
        route = self._find_route(path_prefix)
        route["backend"] = SECOND_SERVICE if route["backend"] == "desk" else "desk"

    def set_timeout(self, path_prefix, seconds):
        """Change a route's timeout in the next configuration."""
        self._find_route(path_prefix)["timeout_ms"] = round(seconds * 1000)
        self.shortest_timeout_seconds = min(seconds, self.shortest_timeout_seconds)

    def _find_route(self, path_prefix):
        return next(route for route in self.fixed_routes if route["name"] == path_prefix)

    def list_services(self):
        """Return the services of the configuration."""
        second = [{"name": SECOND_SERVICE}] if self.has_second_service else []
        return [*super().list_services(), *second]

    def publish_version(self):
        """Write a configuration with a route that shows whether this version is in force."""
        path_prefix = f"/v{self.version + 1}/"
        self.routes = [
            *self.fixed_routes,
            *self.extra_routes,
            self.route(path_prefix, "idempotent", "desk", public=True),
        ]
        self.publish_config([key for key in self.keys if key not in self.revoked_at])

    async def add_target(self, name, service, domain=""):
        """Start a target and wait until it listens."""
        target = self.targets[name] = Target(self, name, service, domain)
        self.alive.add(name)
        await self.nursery.start(target.run)

    async def start(self, domains, targets_per_domain, data_centres):
        """Start the platform and the targets, then the entry processes."""
        listen_address = address.Address(platform_world.HOST, 0)
        store_address = await self.nursery.start(
            tcp.make().listen, listen_address, self.store.handle
        )
        self.publish_version()
        for domain in range(domains):
            for number in range(targets_per_domain):
                await self.add_target(f"t{domain}-{number}", "llm", f"d{domain}")
        for number in range(3):
            await self.add_target(f"p{number}", "desk")
        if self.has_second_service:
            for number in range(2):
                await self.add_target(f"q{number}", SECOND_SERVICE)
        for number, data_centre in enumerate(data_centres):
            proxy = self.store_proxies[f"e{number}"] = Proxy()
            await self.nursery.start(proxy.run, store_address)
            new_entry = entry.Entry(f"e{number}", data_centre, proxy.listen, self.folder)
            self.entries.append(new_entry)
            new_entry.start()

    def expire_target(self, target, born):
        """Remove a dead target from the store unless it has been started anew.

        :param born: id of the start that ended.
        """
        registration = self.store.objects["servers"].get(target.name)
        if registration is not None and registration["spec"]["born"] == born:
            self.store.put("servers", target.name, None)
