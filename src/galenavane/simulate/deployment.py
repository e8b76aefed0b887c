"""Runs a whole deployment in one process: the real tasks over an in-memory network."""

from __future__ import annotations

import functools
import itertools
import random
from collections import abc

import trio

from galenavane.config import setting, settings
from galenavane.entry import process as entry_process
from galenavane.entry import view as views
from galenavane.net import address as addresses
from galenavane.net import message, network, round_trip
from galenavane.observe import events
from galenavane.simulate import memory_network, simulated_process
from galenavane.standin import engine, engine_faults, engine_state, plain_service
from galenavane.standin import platform as platforms
from galenavane.store import client as platform_client
from galenavane.store import instance
from galenavane.target import client as target_client

LATENCY_SECONDS = 0.0005
WALL_START_SECONDS = 1_800_000_000.0
CALL_TIMEOUT_SECONDS = 5.0
MAX_RESPONSE_BYTES = 10_000_000


class Deployment:
    """Simulated processes by name, and the addresses that they listen on.

    :ivar engine_states: actual state of the current incarnation of each engine by name.
    :ivar entries: address for callers of each entry by name.
    :ivar ledgers: job runs of each plain target, over all its incarnations, by name.
    :ivar operator: network of a process outside the deployment, for operators and callers.
    :ivar stop_events: event by entry name that makes the entry stop gracefully.
    :ivar targets: address of each engine and plain target by name.
    :ivar views: view of the latest incarnation of each entry by name.
    """

    __slots__ = (
        "_host_numbers",
        "engine_states",
        "entries",
        "ledgers",
        "net",
        "nursery",
        "operator",
        "platform",
        "processes",
        "rng",
        "stop_events",
        "targets",
        "views",
    )

    def __init__(self, nursery: trio.Nursery, rng: random.Random) -> None:
        self.nursery = nursery
        self.rng = rng
        self.net = memory_network.MemoryNetwork(LATENCY_SECONDS)
        self.processes: dict[str, simulated_process.SimulatedProcess] = {}
        self.entries: dict[str, addresses.Address] = {}
        self.targets: dict[str, addresses.Address] = {}
        self.engine_states: dict[str, engine_state.State] = {}
        self.ledgers: dict[str, list[plain_service.JobRun]] = {}
        self.views: dict[str, views.View] = {}
        self.stop_events: dict[str, trio.Event] = {}
        self._host_numbers = itertools.count(1)
        self.platform = self.new_address()
        self.operator = self.net.attach_process(simulated_process.SimulatedProcess("operator"))

    def new_address(self) -> addresses.Address:
        """Return an unused address."""
        number = next(self._host_numbers)
        return addresses.Address(f"10.0.{number // 250}.{number % 250 + 1}", 8000)

    def new_id(self) -> str:
        """Return a unique id drawn from the seeded generator."""
        return f"{self.rng.getrandbits(128):032x}"

    async def start_platform(self) -> None:
        """Start the stand-in platform."""
        await self._start_process(
            "platform", "", lambda net: functools.partial(platforms.run, net, self.platform)
        )

    async def start_engine(
        self,
        name: str,
        data_centre: str,
        fabric_domain: str,
        parameters: engine_faults.Parameters | None = None,
        faults: engine_faults.Faults | None = None,
    ) -> None:
        """Start the engine of one instance as a new incarnation, and register the instance."""
        address = self.targets.setdefault(name, self.new_address())
        await self._start_process(
            name,
            data_centre,
            lambda net: functools.partial(
                engine.run,
                net,
                name,
                address,
                parameters or engine_faults.Parameters(),
                faults or engine_faults.Faults(),
                self.new_id(),
                functools.partial(self.engine_states.__setitem__, name),
            ),
        )
        await self.register_instance(
            instance.Instance(
                name, str(address), data_centre, instance.Kind.ENGINE, fabric_domain=fabric_domain
            )
        )

    async def start_plain(
        self, name: str, data_centre: str, service: str, faults: plain_service.Faults | None = None
    ) -> None:
        """Start one instance of a plain service, and register it."""
        address = self.targets.setdefault(name, self.new_address())
        ledger = self.ledgers.setdefault(name, [])
        await self._start_process(
            name,
            data_centre,
            lambda net: functools.partial(plain_service.run, net, name, address, ledger, faults),
        )
        await self.register_instance(
            instance.Instance(name, str(address), data_centre, instance.Kind.PLAIN, service=service)
        )

    async def start_entry(self, name: str, data_centre: str, seeds: str = "") -> None:
        """Start one entry as a new incarnation, and register it.

        :param seeds: value of the setting of that name.
        """
        address = self.entries.setdefault(name, self.new_address())
        cfg = _make_settings(name, data_centre, address, self.platform, seeds)
        stop_event = trio.Event()
        self.stop_events[name] = stop_event

        def make_serve(net: network.Network) -> abc.Callable[..., abc.Awaitable[None]]:
            view = self._make_view(cfg, net, self.processes[name])
            self.views[name] = view
            return functools.partial(_serve_entry, view, stop_event)

        await self._start_process(name, data_centre, make_serve)
        peers = str(cfg.get(settings.PEERS))
        await self.register_instance(
            instance.Instance(name, peers, data_centre, instance.Kind.ENTRY)
        )

    def _make_view(
        self,
        cfg: settings.Settings,
        net: network.Network,
        process: simulated_process.SimulatedProcess,
    ) -> views.View:
        return views.View(
            cfg=cfg,
            incarnation=self.new_id(),
            platform=platform_client.make(net, self.platform, cfg.get(settings.PLATFORM_TIMEOUT)),
            targets=target_client.make(net, cfg.get(settings.TARGET_TIMEOUT)),
            rng=random.Random(self.rng.getrandbits(64)),
            net=net,
            transport=self.net.attach_process(process).transport(cfg.get(settings.PEERS)),
        )

    async def _start_process(
        self,
        name: str,
        data_centre: str,
        make_serve: abc.Callable[[network.Network], abc.Callable[..., abc.Awaitable[None]]],
    ) -> None:
        process = simulated_process.SimulatedProcess(name)
        self.processes[name] = process
        serve = make_serve(self.net.attach_process(process))
        source = events.Source(name, data_centre, self.new_id(), wall_seconds)
        await self.nursery.start(_run_process, process, source, serve)

    def kill(self, name: str) -> None:
        """Kill a process and reset its connections."""
        self.processes[name].kill()
        self.net.reset_connections(self.processes[name])

    async def register_instance(self, registered: instance.Instance) -> None:
        """Register an instance with the platform, or update its registration."""
        await self.call(self.platform, message.json_request("POST", "/v1/instances", registered))

    async def call(self, address: addresses.Address, req: message.Request) -> message.Response:
        """Send a request from outside the deployment, as an operator or caller does."""
        return await round_trip.send(
            self.operator, address, req, CALL_TIMEOUT_SECONDS, MAX_RESPONSE_BYTES
        )


async def _run_process(
    process: simulated_process.SimulatedProcess,
    source: events.Source,
    serve: abc.Callable[..., abc.Awaitable[None]],
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    events.set_source(source)
    with process.scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(serve)
            task_status.started()
    process.has_ended = True


async def _serve_entry(
    view: views.View,
    stop_event: trio.Event,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    task_status.started()
    await entry_process.serve(view, stop_event.wait)


def wall_seconds() -> float:
    """Return the simulated wall-clock time in seconds since the epoch."""
    return WALL_START_SECONDS + trio.current_time()


def _make_settings(
    name: str,
    data_centre: str,
    address: addresses.Address,
    platform: addresses.Address,
    seeds: str,
) -> settings.Settings:
    values: dict[tuple[str, str], setting.Value] = {
        (declared.section, declared.key): declared.default
        for declared in settings.ALL
        if declared.default is not None
    }
    overrides: dict[setting.Setting[str] | setting.Setting[addresses.Address], setting.Value] = {
        settings.NAME: name,
        settings.DATA_CENTRE: data_centre,
        settings.CALLERS: address,
        settings.OPERATORS: addresses.Address(address.host, 8001),
        settings.PEERS: addresses.Address(address.host, 8002),
        settings.PLATFORM: platform,
        settings.SEEDS: seeds,
        settings.RESUME_KEY: "simulated",
    }
    values.update(
        {(declared.section, declared.key): value for declared, value in overrides.items()}
    )
    return settings.Settings(values)
