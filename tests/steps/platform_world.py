"""A small platform on the loopback interface: store, model targets and plain targets."""

from __future__ import annotations

import json
import random
import socket
import struct
import types

import h11
import trio

from galenavane.config import settings as settings_files
from galenavane.gateway import process, settings, state
from galenavane.net import address, connection_pool, headers, message, tcp, transport_error
from galenavane.observe import log_sink
from galenavane.peer import zmq_transport
from galenavane.platform import store_client, wire_codec

HOST = "127.0.0.1"
LATE_SECONDS = 1.5
EVENT_SECONDS = 0.02
CRASH_SECONDS = 0.02
KEY = "key-1"
MODEL = "m0"


class Store:
    """Metadata store with objects by kind and name, revisions, pages and watches.

    :ivar page_items: number of objects in a page of a list.
    :ivar after_page: called with the name after which a page began, once it was answered.
    :ivar away_after: names after which pages can't be read.
    """

    def __init__(self):
        self.page_items = 500
        self.oldest_revision = 0
        self.after_page = None
        self.away_after = set()
        self.revision = 1
        self.objects = {}
        self.log = []
        self.changed = trio.Event()
        self.is_away = False

    def put(self, kind, name, spec):
        """Write an object, or delete it when ``spec`` is ``None``."""
        self.revision += 1
        kept = self.objects.setdefault(kind, {})
        if spec is None:
            gone = kept.pop(name)
            self.log.append((self.revision, kind, gone, True))
        else:
            kept[name] = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
            self.log.append((self.revision, kind, kept[name], False))
        self.changed.set()
        self.changed = trio.Event()

    def forget_history(self):
        """Forget all changes so far, so that they can't be watched any more."""
        self.log.clear()
        self.oldest_revision = self.revision

    async def handle(self, exchange):
        """Handle one HTTP request."""
        if self.is_away:
            await exchange.respond(message.Response(503))
            return
        path, _, query = exchange.request.target.partition("?")
        params = dict(item.split("=") for item in query.split("&")) if query else {}
        parts = path.split("/")[2:]
        if exchange.request.method != "GET":
            await self._write(exchange, parts)
        elif "watch" in params:
            await self._watch(exchange, parts[0], int(params["watch"]), int(params["wait_ms"]))
        elif len(parts) == 2:
            stored = self.objects.get(parts[0], {}).get(parts[1])
            await self._respond(exchange, stored, 200 if stored else 404)
        else:
            await self._list(exchange, parts[0], params.get("after", ""))

    async def _list(self, exchange, kind, after):
        if after in self.away_after:
            await exchange.respond(message.Response(503))
            return
        listed = [item for name, item in sorted(self.objects.get(kind, {}).items()) if name > after]
        page = {
            "items": listed[: self.page_items],
            "has_more": len(listed) > self.page_items,
            "as_of": self.revision,
        }
        await self._respond(exchange, page)
        if self.after_page is not None:
            self.after_page(after)

    async def _respond(self, exchange, value, status=200):
        await exchange.respond(message.json_response(status, value))

    async def _write(self, exchange, parts):
        body = json.loads(exchange.request.body or b"null")
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else body["metadata"]["name"]
        known = self.objects.get(kind, {}).get(name)
        expected_revision = body["metadata"].get("revision")
        is_conflict = known is not None if exchange.request.method == "POST" else known is None
        if is_conflict or (
            expected_revision is not None and expected_revision != known["metadata"]["revision"]
        ):
            await self._respond(exchange, known, 409 if known else 404)
            return
        self.put(kind, name, body["spec"])
        await self._respond(exchange, self.objects[kind][name])

    async def _watch(self, exchange, kind, revision, wait_ms):
        def changes():
            return [
                {"object": item, "deleted": deleted}
                for changed_at, changed_kind, item, deleted in self.log
                if changed_at > revision and changed_kind == kind
            ]

        if revision < self.oldest_revision:
            await exchange.respond(message.Response(410))
            return
        with trio.move_on_after(wait_ms / 1000):
            while not changes():
                await self.changed.wait()
        await self._respond(exchange, {"events": changes(), "as_of": self.revision})


class Target:
    """A target of the model service or of the plain service."""

    def __init__(self, world, name, service, domain):
        self.world = world
        self.name = name
        self.domain = domain
        self.service = service
        self.born = random.randrange(10**12)
        self.group = None
        self.highest_epoch = 0
        self.command_count = 0
        self.orders = []
        self.late_joins = 0
        self.streaming = 0
        self.late_statuses = []
        self.members = ()
        self.last_model = ""
        self.staged = []
        self.is_leaving = False
        self.says_leaving = False
        self.asks_to_wait = ""
        self.scope = trio.CancelScope()
        self.published_address = ""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Listen until the target is killed."""
        async with trio.open_nursery() as nursery:
            self.scope = nursery.cancel_scope
            bound = await nursery.start(tcp.make().listen, address.Address(HOST, 0), self.handle)
            self.published_address = str(bound)
            self.publish()
            task_status.started()

    def kill(self):
        """Stop abruptly; the listed object expires later."""
        self.scope.cancel()
        self.world.alive.discard(self.name)

    async def _kill_later(self):
        """Stop a moment after the connection has ended, as the parts of a crash take their time."""
        await trio.sleep(CRASH_SECONDS)
        self.kill()

    def publish(self):
        """Write the target's object to the store."""
        self.world.store.put("servers", self.name, self.describe())

    def describe(self):
        """Return the target's object as the platform stores it."""
        served_group = self.group if self.group and self.group["state"] != "joining" else None
        models = [{"name": MODEL, "version": 1, "adapters": []}] if served_group else []
        return {
            "backend": self.service,
            "address": self.published_address,
            "zone": "dc",
            "version": "v1",
            "slots": 13,
            "state": "draining" if self.is_leaving else "ready",
            "sequence": self.command_count,
            "born": self.born,
            "models": models,
            "domain": self.domain,
            "staged": self.staged,
            "group": self.group,
        }

    async def handle(self, exchange):
        """Handle one request or command."""
        expected_id = exchange.request.headers.get("expect-replica", self.name)
        if exchange.request.path == "/order" and expected_id != self.name:
            await exchange.respond(message.Response(421))
        elif exchange.request.path == "/order":
            order = json.loads(exchange.request.body)
            self.orders.append(order)
            if order["operation"] == "join" and self.late_joins > 0:
                self.late_joins -= 1
                self.world.nursery.start_soon(self._carry_out_late, order)
                await trio.sleep(LATE_SECONDS)
                return
            await self._execute_command(exchange, order)
        elif exchange.request.path == "/report":
            report = message.json_response(200, {**self.describe(), "pace": 1.0})
            self._add_notice(report.headers)
            await exchange.respond(report)
        elif self.service == "llm" or exchange.request.headers.get("token-usage"):
            await self._stream(exchange)
        else:
            await self._plain(exchange)

    async def _carry_out_late(self, order):
        """Carry out a command that gets no answer."""
        await trio.sleep(LATE_SECONDS)

        async def respond(response):
            self.late_statuses.append(response.status)

        await self._execute_command(types.SimpleNamespace(respond=respond), order)

    async def _execute_command(self, exchange, order):
        current_key = (self.group["name"], self.group["epoch"]) if self.group else None
        order_key = (order["group"], order["epoch"])
        status = 202
        if order["operation"] == "join" and order["epoch"] < self.highest_epoch:
            status = 412
        elif order["operation"] == "join" and current_key == order_key:
            status = 200
        elif order.get("expected", self.command_count) != self.command_count:
            status = 409
        elif order["operation"] == "join":
            self.highest_epoch = order["epoch"]
            rank = order["members"].index(self.name)
            self.members = order["members"]
            self.group = {
                "name": order_key[0],
                "epoch": order_key[1],
                "rank": rank,
                "state": "joining",
            }
            self.world.nursery.start_soon(self._become, order_key, "ready", 0.05)
        elif current_key != order_key:
            status = 409
        elif order["operation"] == "leave":
            self.group = None
        elif order["operation"] == "open":
            self.world.nursery.start_soon(self._become, order_key, "open", 0.05)
        else:
            self.group["state"] = "closing" if self.streaming else "ready"
        self.command_count += status == 202
        self.publish()
        await exchange.respond(message.Response(status, self._add_notice(headers.Headers())))

    def _add_notice(self, fields):
        """Add to an answer's fields that the target leaves, if it does."""
        return fields.add("server-leaving", "1") if self.says_leaving else fields

    async def _turn_away(self, exchange):
        """Refuse a request with the wish to be left alone; return whether there is one."""
        if not self.asks_to_wait:
            return False
        fields = self._answer_headers(exchange).add("not-executed", "1")
        await exchange.respond(message.Response(503, fields.add("retry-after", self.asks_to_wait)))
        return True

    async def _become(self, group_key, group_state, seconds):
        await trio.sleep(seconds)
        if self.group and (self.group["name"], self.group["epoch"]) == group_key:
            self.group["state"] = group_state
            self.staged = [MODEL]
            if self.name in self.world.alive:
                self.publish()

    def _answer_headers(self, exchange):
        fields = headers.Headers().add("attempt-id", exchange.request.headers.get("attempt-id"))
        return self._add_notice(fields.add("replica-signature", f"{self.name}.sig"))

    async def _flood(self, exchange):
        """Send bytes that are no answer, or more than one, until the entry closes."""
        flood = self.world.flood
        flood.target = flood.target or self.name
        if flood.target != self.name:
            return False
        flood.requests += 1
        stream = exchange.conn.stream
        fields = [(name, value) for name, value in self._answer_headers(exchange).pairs]
        head = b"HTTP/1.1 200 OK\r\n" + b"".join(b"%b: %b\r\n" % pair for pair in fields)
        began_at = trio.current_time()
        try:
            await stream.send_all(flood.start.replace(b"HEAD", head))
            while True:
                if flood.pause_seconds:
                    await trio.sleep(flood.pause_seconds)
                await stream.send_all(flood.repeated)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            flood.seconds = trio.current_time() - began_at
        return True

    async def _send_endless(self, exchange):
        """Send a start and a piece again and again until the entry closes the connection."""
        start, piece = self.world.endless
        pairs = b"".join(b"%b: %b\r\n" % pair for pair in self._answer_headers(exchange).pairs)
        stream = exchange.conn.stream
        try:
            await stream.send_all(start.replace(b"HEAD", b"HTTP/1.1 200 OK\r\n" + pairs))
            while True:
                await stream.send_all(piece)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _send_raw(self, exchange):
        """Send the next prepared answer byte by byte as it stands; return whether there is one."""
        if not self.world.raw_answers:
            return False
        answer = self.world.raw_answers.pop(0)
        stream = exchange.conn.stream
        pairs = self._answer_headers(exchange).pairs
        head = answer.status_line + b"\r\n" + b"".join(b"%b: %b\r\n" % pair for pair in pairs)
        head += answer.fields + b"\r\n"
        try:
            await stream.send_all(answer.cut(head, head + answer.body))
            # An answer is read before its reset, which would discard what is unread.
            await trio.sleep(answer.pause_seconds)
            if answer.end == "is silent":
                await stream.receive_some(1)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if answer.end == "ends a moment later":
            self.world.nursery.start_soon(self._kill_later)
        if answer.end == "crashes":
            self.kill()
            await trio.sleep(0)
        if answer.end == "resets":
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await exchange.conn.close()
        return True

    async def _begin_answer(self, exchange):
        """Send what a head sends before a request crashes it."""
        await trio.sleep(EVENT_SECONDS)
        framing, _, count = self.world.crash_answer.partition(" with ")
        fields = self._answer_headers(exchange).add("content-type", "text/event-stream")
        first = int(exchange.request.headers.get("last-event-id") or 0) + 1
        event = b"id: %d\ndata: %d\n\n" % (first, first) if count else b""
        if framing == "an unframed answer":
            pairs = b"".join(b"%b: %b\r\n" % pair for pair in fields.pairs)
            await exchange.conn.stream.send_all(b"HTTP/1.1 200 OK\r\n" + pairs + b"\r\n" + event)
        elif framing == "an answer in chunks":
            await exchange.conn.stream.send_all(exchange.frame_chunk(fields, event))
        await trio.sleep(EVENT_SECONDS)

    async def _pause(self, exchange):
        """Wait while the target is silent; return whether the entry has closed the connection."""
        with trio.move_on_at(self.world.silent_until.get(self.name, 0.0)):
            try:
                await exchange.conn.stream.receive_some(1)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            self.world.closed_early.append(self.name)
            return True
        return False

    async def _plain(self, exchange):
        self.world.arrivals.append((self.name, exchange.request.headers))
        await trio.sleep(self.world.plain_seconds)
        if await self._pause(exchange) or await self._turn_away(exchange):
            return
        if await self._send_raw(exchange):
            return
        if self.world.endless:
            await self._send_endless(exchange)
            return
        if self.world.flood and await self._flood(exchange):
            return
        fault = self.world.plain_fault
        if fault == "refuse":
            await exchange.respond(
                message.Response(503, headers.Headers().add("not-executed", "1"))
            )
            return
        if fault:
            if fault == "once":
                self.world.plain_fault = ""
            await exchange.conn.close()
            return
        fields = self._answer_headers(exchange)
        await exchange.respond(message.Response(200, fields, b"done"))

    def _is_held_up(self):
        """Whether a member is lost or silent, which stops all streams of the group."""
        now = trio.current_time()
        is_silent = any(now < self.world.silent_until.get(name, 0.0) for name in self.members)
        if self.group is None:
            return False
        return is_silent or not set(self.members) <= self.world.alive

    async def _stream(self, exchange):
        self.world.arrivals.append((self.name, exchange.request.headers))
        if await self._turn_away(exchange) or await self._send_raw(exchange):
            return
        if self.world.flood and await self._flood(exchange):
            return
        parts = exchange.request.headers.get("prompt-prefix").split(",")
        if any(part.partition(":")[0] in self.world.deadly_parts for part in parts):
            await self._begin_answer(exchange)
            self.world.crashed.append(self.name)
            self.kill()
            await trio.sleep_forever()
        if self.world.dropped_answers > 0:
            self.world.dropped_answers -= 1
            await exchange.conn.close()
            return
        first = int(exchange.request.headers.get("last-event-id") or 0) + 1
        last = int(exchange.request.headers.get("token-usage").split(",")[1])
        fields = self._answer_headers(exchange).add("content-type", "text/event-stream")
        self.streaming += 1
        try:
            for number in range(first, last + 1):
                await trio.sleep(EVENT_SECONDS)
                self.world.announce_event(self.name, number)
                while self._is_held_up():
                    await trio.sleep(EVENT_SECONDS)
                if self.service == "llm" and self.group is None:
                    await exchange.conn.close()
                    return
                event = b"id: %d\ndata: %d\n\n" % (number, number)
                if number == self.world.break_at:
                    self.world.break_at = 0
                    await exchange.conn.stream.send_all(exchange.frame_chunk(fields, event[:5]))
                    await exchange.conn.close()
                    return
                await exchange.conn.stream.send_all(exchange.frame_chunk(fields, event))
            await exchange.end_stream()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.world.left_at.append(trio.current_time())
        finally:
            self._end_streaming()

    def _end_streaming(self):
        """Let a closing head be ready when its last stream has ended."""
        self.streaming -= 1
        if not self.streaming and self.group and self.group["state"] == "closing":
            self.group["state"] = "ready"
            if self.name in self.world.alive:
                self.publish()


class SilencedNetwork:
    """TCP, on which connections to some addresses are not accepted for a while."""

    def __init__(self, net, unreachable_until):
        self._net = net
        self._unreachable_until = unreachable_until

    async def dial(self, destination, timeout_seconds):
        """Open a connection, or wait for one that is not accepted."""
        until = self._unreachable_until.get(str(destination), 0.0)
        waited_seconds = max(0.0, until - trio.current_time())
        await trio.sleep(min(waited_seconds, timeout_seconds))
        if waited_seconds > timeout_seconds:
            kind = transport_error.Kind.NOT_CONNECTED
            raise transport_error.TransportError(kind, False, f"{destination}: timed out")
        return await self._net.dial(destination, timeout_seconds - waited_seconds)

    async def listen(self, *args, **kwargs):
        """Serve connections until cancelled."""
        await self._net.listen(*args, **kwargs)


class World:
    """The store, the targets and one entry process."""

    def __init__(self, nursery, folder):
        self.nursery = nursery
        self.folder = folder
        self.store = Store()
        self.targets = {}
        self.alive = set()
        self.arrivals = []
        self.left_at = []
        self.break_at = 0
        self.plain_fault = ""
        self.plain_seconds = 0
        self.flood = None
        self.endless = None
        self.raw_answers = []
        self.deadly_parts = set()
        self.crashed = []
        self.crash_answer = ""
        self.dropped_answers = 0
        self.silent_until = {}
        self.closed_early = []
        self.unreachable_until = {}
        self.event_listeners = []
        self.version = 1
        self.routes = [
            self.route("/model/", "streaming", "llm", resumable=True, max_attempts=2),
            self.route("/once/", "streaming", "llm"),
            self.route("/feed/", "streaming", "desk", resumable=True, max_attempts=2),
            self.route("/order/", "non_idempotent", "desk"),
            self.route("/status/", "idempotent", "desk", max_attempts=2),
        ]

    def route(self, prefix, kind, service, **changes):
        """Build a route of the configuration."""
        return {
            "name": prefix,
            "hostname": "h.example",
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": 8000,
            "target_latency_ms": 300,
            "backend": service,
            "max_attempts": 1,
            **changes,
        }

    def silence(self, names, seconds, is_reachable):
        """Let targets make no events for a while, and accept connections or none meanwhile."""
        until = trio.current_time() + seconds
        self.silent_until.update(dict.fromkeys(names, until))
        if not is_reachable:
            addresses = [self.targets[name].published_address for name in names]
            self.unreachable_until.update(dict.fromkeys(addresses, until))

    def announce_event(self, head, number):
        """Tell the listeners that a head is about to send an event."""
        for listener in self.event_listeners:
            listener(head, number)

    def list_services(self):
        """Return the services of the configuration."""
        model = {"name": MODEL, "size": 5, "share": 1.0, "load_s": 1.0, "warm_s": 0.2}
        engine = {"slots": 13, "stride": 1, "step_ms": 20, "models": [model]}
        return [{"name": "llm", "engine": engine}, {"name": "desk"}]

    def publish_config(self, keys):
        """Write the configuration to the store."""
        self.version += 1
        self.store.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": self.routes,
                "services": self.list_services(),
                "limits": {},
                "tenants": [{"name": "acme", "api_keys": keys}],
            },
        )

    async def add_target(self, name, service, domain=""):
        """Start a target."""
        added = self.targets[name] = Target(self, name, service, domain)
        self.alive.add(name)
        await self.nursery.start(added.run)

    async def start(self, domains, size):
        """Start the platform and an entry process, and wait until it serves."""
        store_address = await self.nursery.start(
            tcp.make().listen, address.Address(HOST, 0), self.store.handle
        )
        self.publish_config([KEY])
        for domain in range(domains):
            for number in range(size):
                await self.add_target(f"t{domain}-{number}", "llm", f"d{domain}")
        for number in range(2):
            await self.add_target(f"p{number}", "desk")
        self.entry = self._make_entry(store_address)
        self.nursery.start_soon(process.run, self.entry, log_sink.LogSink(-1))
        await self.wait_serving(domains, 10)

    def _make_entry(self, store_address):
        text = "[entry]\nname = e1\ndata_centre = dc\nhost = 127.0.0.1\n"
        self.callers = address.Address(HOST, free_port())
        self.readiness = address.Address(HOST, free_port())
        text += f"callers = {self.callers}\nreadiness = {self.readiness}\n"
        text += f"peer_port = {free_port()}\n[store]\naddress = {store_address}\n"
        path = self.folder / "entry.ini"
        path.write_text(text)
        cfg = settings_files.load(path, settings.ALL)
        net = SilencedNetwork(tcp.make(), self.unreachable_until)
        store = store_client.make(connection_pool.make(net), cfg.get(settings.STORE))
        peer_address = address.Address(HOST, cfg.get(settings.PEER_PORT))
        messages = zmq_transport.make(peer_address)
        return state.Gateway(cfg, "x", store, wire_codec.make(), net, messages, random.Random(1))

    def serving(self):
        """Return the heads of complete, open groups."""
        return [
            member
            for member in self.targets.values()
            if member.group
            and member.group["state"] == "open"
            and member.name in self.alive
            and set(member.members) <= self.alive
        ]

    async def wait_serving(self, count, seconds):
        """Wait until ``count`` groups serve and the entry may use keys."""
        with trio.fail_after(seconds):
            while len(self.serving()) < count or not self.entry.may_use_keys():
                await trio.sleep(0.02)
            await trio.sleep(0.1)

    async def call(self, path, events=0, method="POST", take=None, prompt=""):
        """Send one request and return its response.

        :param events: number of tokens to request; 0 for a plain request.
        :param prompt: the parts of the prompt as sent on the platform's wire.
        :param take: called with the number of events so far; returns whether to disconnect.
        """
        conn = await tcp.make().dial(self.callers, 1.0)
        try:
            return await self.call_over(conn, path, events, method, take, prompt=prompt)
        finally:
            await conn.close()

    async def call_over(
        self, conn, path, events=0, method="POST", take=None, may_break_off=False, prompt=""
    ):
        """Send one request over a connection and return its response.

        :param may_break_off: whether to return what arrived of a response that is broken off.
        """
        fields = [
            (b"host", b"h.example"),
            (b"attempt-id", b"%x" % random.getrandbits(64)),
            (b"deadline-ms", b"8000"),
            (b"authorization", b"Bearer " + KEY.encode()),
            (b"content-length", b"0"),
        ]
        if events:
            fields += [(b"model", MODEL.encode()), (b"token-usage", b"10,%d" % events)]
        if prompt:
            fields.append((b"prompt-prefix", prompt.encode()))
        head = h11.Request(method=method, target=path, headers=fields)
        await conn.send(head, h11.EndOfMessage())
        response = await conn.read_response_head()
        body = b""
        while True:
            try:
                part = await conn.next_event()
            except transport_error.TransportError:
                if not may_break_off:
                    raise
                part = None
            if not isinstance(part, h11.Data):
                break
            body += part.data
            if take is not None and take(body.count(b"\n\n")):
                break
        is_whole = isinstance(part, h11.EndOfMessage)
        return types.SimpleNamespace(
            status=response.status, headers=response.headers, body=body, is_whole=is_whole
        )


def free_port():
    """Return an unused TCP port."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]
