"""A few entries, plain targets and a platform in memory, without membership tasks."""

from __future__ import annotations

import hashlib
import random

import msgspec
import trio

from galenavane.config import declaration, in_force, setting, settings
from galenavane.config import head as heads
from galenavane.entry import view as views
from galenavane.net import address as addresses
from galenavane.net import headers as header_lists
from galenavane.net import message, network, round_trip
from galenavane.observe import events
from galenavane.serve import caller_handler
from galenavane.simulate import faulty_net, net, owner
from galenavane.standin import plain
from galenavane.standin import platform as platforms
from galenavane.store import client as platform_client
from galenavane.store import instance
from galenavane.target import client as target_client

LATENCY_SECONDS = 0.0005
WALL_START_SECONDS = 1_800_000_000.0
SERVICE = "desk"
ACCOUNT_KEY = "key"
CALL_SECONDS = 30.0
MAX_ANSWER_BYTES = 10_000_000
_FIRST_ENTRY = 10
_FIRST_TARGET = 20


class SmallDeployment:
    """Processes by address; every entry dials through a network with faults."""

    __slots__ = ("_nursery", "_owners", "entries", "net", "operator", "platform", "rng", "targets")

    def __init__(self, nursery: trio.Nursery, rng: random.Random) -> None:
        self._nursery = nursery
        self._owners: dict[addresses.Address, owner.Owner] = {}
        self.rng = rng
        self.net = net.Net(LATENCY_SECONDS)
        self.operator = self.net.face(owner.Owner("operator"))
        self.platform = addresses.Address("10.0.0.1", 1)
        self.entries: list[addresses.Address] = []
        self.targets: list[addresses.Address] = []

    async def start(self, entries: int, targets: int, next_fault: faulty_net.NextFault) -> None:
        """Start everything."""
        events.set_source(events.Source("small", "here", "incarnation", _wall))
        face = self._face(self.platform, "platform")
        await self._nursery.start(platforms.run, face, self.platform)
        for number in range(targets):
            where = addresses.Address("10.0.0.1", _FIRST_TARGET + number)
            self.targets.append(where)
            name = f"desk-{number}"
            await self._nursery.start(plain.run, self._face(where, name), name, where)
        for number in range(entries):
            where = addresses.Address("10.0.0.1", _FIRST_ENTRY + number)
            self.entries.append(where)
            await self.start_entry(where, next_fault)

    async def start_entry(
        self, where: addresses.Address, next_fault: faulty_net.NextFault
    ) -> views.View:
        """Start an entry, also in place of one that was killed."""
        own = owner.Owner(f"entry-{where.port}")
        self._owners[where] = own
        face = self.net.face(own)
        view = self._make_view(where, faulty_net.FaultyNet(face, next_fault), face)
        handler = caller_handler.make_handler(view)
        started = trio.Event()

        async def run() -> None:
            with own.scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(face.listen, where, handler)
                    started.set()

        self._nursery.start_soon(run)
        await started.wait()
        return view

    def kill(self, where: addresses.Address) -> None:
        """Kill a process; its connections are reset."""
        own = self._owners[where]
        own.kill()
        self.net.reset_all(own)

    async def call(self, where: addresses.Address, req: message.Request) -> message.Response:
        """Call a process from outside, without faults."""
        return await round_trip.send(self.operator, where, req, CALL_SECONDS, MAX_ANSWER_BYTES)

    async def ledger(self) -> list[plain.Run]:
        """Return every job that any target ran."""
        lines: list[plain.Run] = []
        for where in self.targets:
            answer = await self.call(where, message.Request("GET", "/ledger"))
            lines += msgspec.json.decode(answer.body, type=list[plain.Run])
        return lines

    def _face(self, where: addresses.Address, name: str) -> net.Face:
        own = owner.Owner(name)
        self._owners[where] = own
        return self.net.face(own)

    def _make_view(
        self, where: addresses.Address, dials: network.Network, face: net.Face
    ) -> views.View:
        cfg = _settings(where, self.platform)
        view = views.View(
            cfg=cfg,
            incarnation=f"{self.rng.getrandbits(128):032x}",
            platform=platform_client.make(dials, self.platform, cfg.get(settings.PLATFORM_TIMEOUT)),
            targets=target_client.make(dials, cfg.get(settings.TARGET_TIMEOUT)),
            rng=random.Random(self.rng.getrandbits(64)),
            net=dials,
            transport=face.transport(cfg.get(settings.PEERS)),
        )
        view.configuration.publish(_configuration())
        view.instances.publish(
            [
                instance.Instance(
                    f"desk-{number}", str(target), "here", instance.Kind.PLAIN, service=SERVICE
                )
                for number, target in enumerate(self.targets)
            ]
        )
        return view


def make_request(
    method: str, path: str, body: bytes, deadline_seconds: float, key: str = ""
) -> message.Request:
    """Return a caller's request to the plain service."""
    fields = header_lists.Headers().add("authorization", f"Bearer {ACCOUNT_KEY}")
    fields.add("x-deadline-seconds", str(deadline_seconds))
    if key:
        fields.add("idempotency-key", key)
    return message.Request(method, f"/services/{SERVICE}{path}", fields, body)


def _wall() -> float:
    return WALL_START_SECONDS + trio.current_time()


def _configuration() -> in_force.Configuration:
    digest = hashlib.sha256(ACCOUNT_KEY.encode()).hexdigest()
    declared = declaration.Declarations(
        deployment=declaration.Deployment("small"),
        services=[
            declaration.Service(SERVICE, declaration.ServiceKind.PLAIN, idempotent=["GET /jobs*"])
        ],
        models=[],
        accounts=[declaration.Account("caller", digest, requests_per_second=1e6)],
        presets=[declaration.Preset("ordinary")],
        runs=[],
    )
    return in_force.Configuration(heads.Head(1, {}, "ordinary", "writer"), declared)


def _settings(where: addresses.Address, platform: addresses.Address) -> settings.Settings:
    values: dict[tuple[str, str], setting.Value] = {
        (one.section, one.key): one.default for one in settings.ALL if one.default is not None
    }
    values[("entry", "name")] = f"entry-{where.port}"
    values[("entry", "data_centre")] = "here"
    values[("entry", "callers")] = where
    values[("entry", "operators")] = addresses.Address(where.host, where.port + 100)
    values[("entry", "peers")] = addresses.Address(where.host, where.port + 200)
    values[("platform", "address")] = platform
    return settings.Settings(values)
