"""Runs entries, plain targets and a platform over a network in memory, without membership tasks."""

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
from galenavane.simulate import faulty_network, memory_network, simulated_process
from galenavane.standin import plain_service
from galenavane.standin import platform as platforms
from galenavane.store import client as platform_client
from galenavane.store import instance
from galenavane.target import client as target_client

LATENCY_SECONDS = 0.0005
WALL_START_SECONDS = 1_800_000_000.0
SERVICE_NAME = "desk"
API_KEY = "key"
CALL_TIMEOUT_SECONDS = 30.0
MAX_RESPONSE_BYTES = 10_000_000
_FIRST_ENTRY_PORT = 10
_FIRST_TARGET_PORT = 20


class SmallDeployment:
    """Simulated processes; every entry connects through a network that injects faults.

    :ivar operator: fault-free network of a caller outside the deployment.
    :ivar platform: address of the platform.
    :ivar entries: address of each entry.
    :ivar targets: address of each target.
    """

    __slots__ = (
        "_nursery",
        "_processes",
        "entries",
        "net",
        "operator",
        "platform",
        "rng",
        "targets",
    )

    def __init__(self, nursery: trio.Nursery, rng: random.Random) -> None:
        self._nursery = nursery
        self._processes: dict[addresses.Address, simulated_process.SimulatedProcess] = {}
        self.rng = rng
        self.net = memory_network.MemoryNetwork(LATENCY_SECONDS)
        self.operator = self.net.attach_process(simulated_process.SimulatedProcess("operator"))
        self.platform = addresses.Address("10.0.0.1", 1)
        self.entries: list[addresses.Address] = []
        self.targets: list[addresses.Address] = []

    async def start(
        self, entry_count: int, target_count: int, next_fault: faulty_network.NextFault
    ) -> None:
        """Start the platform, the targets and the entries."""
        events.set_source(events.Source("small", "here", "incarnation", _wall_seconds))
        process_net = self._attach_process(self.platform, "platform")
        await self._nursery.start(platforms.run, process_net, self.platform)
        for number in range(target_count):
            address = addresses.Address("10.0.0.1", _FIRST_TARGET_PORT + number)
            self.targets.append(address)
            name = f"desk-{number}"
            await self._nursery.start(
                plain_service.run, self._attach_process(address, name), name, address
            )
        for number in range(entry_count):
            address = addresses.Address("10.0.0.1", _FIRST_ENTRY_PORT + number)
            self.entries.append(address)
            await self.start_entry(address, next_fault)

    async def start_entry(
        self, address: addresses.Address, next_fault: faulty_network.NextFault
    ) -> views.View:
        """Start an entry, possibly in place of a killed one at the same address."""
        process = simulated_process.SimulatedProcess(f"entry-{address.port}")
        self._processes[address] = process
        process_net = self.net.attach_process(process)
        view = self._make_view(
            address, faulty_network.FaultyNetwork(process_net, next_fault), process_net
        )
        handler = caller_handler.make_handler(view)
        started = trio.Event()

        async def run() -> None:
            with process.scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(process_net.listen, address, handler)
                    started.set()

        self._nursery.start_soon(run)
        await started.wait()
        return view

    def kill_process(self, address: addresses.Address) -> None:
        """Kill a process and reset its connections."""
        process = self._processes[address]
        process.kill()
        self.net.reset_connections(process)

    async def call(self, address: addresses.Address, req: message.Request) -> message.Response:
        """Call a process from outside the deployment, without faults."""
        return await round_trip.send(
            self.operator, address, req, CALL_TIMEOUT_SECONDS, MAX_RESPONSE_BYTES
        )

    async def fetch_ledger(self) -> list[plain_service.JobRun]:
        """Return every job run of every target."""
        job_runs: list[plain_service.JobRun] = []
        for address in self.targets:
            response = await self.call(address, message.Request("GET", "/ledger"))
            job_runs += msgspec.json.decode(response.body, type=list[plain_service.JobRun])
        return job_runs

    def _attach_process(
        self, address: addresses.Address, name: str
    ) -> memory_network.ProcessNetwork:
        process = simulated_process.SimulatedProcess(name)
        self._processes[address] = process
        return self.net.attach_process(process)

    def _make_view(
        self,
        address: addresses.Address,
        entry_net: network.Network,
        process_net: memory_network.ProcessNetwork,
    ) -> views.View:
        cfg = _make_settings(address, self.platform)
        view = views.View(
            cfg=cfg,
            incarnation=f"{self.rng.getrandbits(128):032x}",
            platform=platform_client.make(
                entry_net, self.platform, cfg.get(settings.PLATFORM_TIMEOUT)
            ),
            targets=target_client.make(entry_net, cfg.get(settings.TARGET_TIMEOUT)),
            rng=random.Random(self.rng.getrandbits(64)),
            net=entry_net,
            transport=process_net.transport(cfg.get(settings.PEERS)),
        )
        view.configuration.publish(_make_configuration())
        view.instances.publish(
            [
                instance.Instance(
                    f"desk-{number}", str(target), "here", instance.Kind.PLAIN, service=SERVICE_NAME
                )
                for number, target in enumerate(self.targets)
            ]
        )
        return view


def make_request(
    method: str, path: str, body: bytes, deadline_seconds: float, idempotency_key: str = ""
) -> message.Request:
    """Return a caller's request to the plain service."""
    headers = header_lists.Headers().add("authorization", f"Bearer {API_KEY}")
    headers.add("x-deadline-seconds", str(deadline_seconds))
    if idempotency_key:
        headers.add("idempotency-key", idempotency_key)
    return message.Request(method, f"/services/{SERVICE_NAME}{path}", headers, body)


def _wall_seconds() -> float:
    return WALL_START_SECONDS + trio.current_time()


def _make_configuration() -> in_force.Configuration:
    key_digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    declarations = declaration.Declarations(
        deployment=declaration.Deployment("small"),
        services=[
            declaration.Service(
                SERVICE_NAME, declaration.ServiceKind.PLAIN, idempotent=["GET /jobs*"]
            )
        ],
        models=[],
        accounts=[declaration.Account("caller", key_digest, requests_per_second=1e6)],
        presets=[declaration.Preset("ordinary")],
        runs=[],
    )
    return in_force.Configuration(heads.Head(1, {}, "ordinary", "writer"), declarations)


def _make_settings(
    address: addresses.Address, platform_address: addresses.Address
) -> settings.Settings:
    values: dict[tuple[str, str], setting.Value] = {
        (definition.section, definition.key): definition.default
        for definition in settings.ALL
        if definition.default is not None
    }
    values[("entry", "name")] = f"entry-{address.port}"
    values[("entry", "data_centre")] = "here"
    values[("entry", "callers")] = address
    values[("entry", "operators")] = addresses.Address(address.host, address.port + 100)
    values[("entry", "peers")] = addresses.Address(address.host, address.port + 200)
    values[("platform", "address")] = platform_address
    return settings.Settings(values)
