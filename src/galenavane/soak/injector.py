"""Injects the faults of a schedule into a simulated deployment."""

from __future__ import annotations

import random
from collections import abc

import trio

from galenavane.net import message
from galenavane.observe import events
from galenavane.simulate import deployment
from galenavane.soak import fault_types, operators, topology
from galenavane.standin import engine_faults, plain_service, platform_faults
from galenavane.store import instance

POLL_INTERVAL_SECONDS = 0.1
KILL_AFTER_LEAVING_SECONDS = 12.0
SLOW_PLATFORM_CALL_SECONDS = 0.8
PLAIN_RESPONSE_SECONDS = 0.15
MAX_LIST_LAG_SECONDS = 2.0
_Kind = fault_types.Kind


class Injector:
    """Active faults and the fault settings of the stand-ins.

    :ivar active_faults: faults that have begun and not ended.
    :ivar unplanned_ended_at: simulated time at which the last unplanned fault ended.
    :ivar leaving_since: by target, the simulated time at which the platform listed it as leaving.
    :ivar list_lag_seconds: age of the instance list that the platform returns.
    """

    def __init__(
        self,
        simulation: deployment.Deployment,
        layout: topology.Topology,
        rng: random.Random,
        ops: operators.Operators,
    ) -> None:
        self.simulation = simulation
        self.layout = layout
        self.rng = rng
        self.ops = ops
        self.active_faults: list[fault_types.Fault] = []
        self.unplanned_ended_at = 0.0
        self.leaving_since: dict[str, float] = {}
        self.list_lag_seconds = round(rng.uniform(0.0, MAX_LIST_LAG_SECONDS), 3)
        self.engine_faults = {
            placement.name: engine_faults.Faults(
                checks_token=layout.checks_token, report_lag_seconds=rng.uniform(0.0, 2.0)
            )
            for placement in layout.engines
        }
        self.plain_faults = {
            placement.name: plain_service.Faults(slow_seconds=PLAIN_RESPONSE_SECONDS)
            for placement in layout.plain_targets
        }

    async def start_processes(self) -> None:
        """Start the platform and every target."""
        await self.simulation.start_platform()
        await self._apply_platform_faults()
        for placement in self.layout.engines + self.layout.plain_targets:
            await self.start_process(placement.name)

    async def start_process(self, name: str) -> None:
        """Start a process as a new incarnation unless it is running."""
        process = self.simulation.processes.get(name)
        if process is not None and process.is_alive:
            return
        self.leaving_since.pop(name, None)
        for entry in self.layout.entries:
            if entry.name == name:
                await self.simulation.start_entry(name, entry.data_centre)
        for engine in self.layout.engines:
            if engine.name == name:
                await self.simulation.start_engine(
                    name, engine.data_centre, engine.fabric_domain, None, self.engine_faults[name]
                )
        for target in self.layout.plain_targets:
            if target.name == name:
                await self.simulation.start_plain(
                    name, target.data_centre, topology.PLAIN_SERVICE, self.plain_faults[name]
                )

    async def run(self, schedule: list[fault_types.Fault]) -> None:
        """Inject each fault at its time and undo it after its duration."""
        async with trio.open_nursery() as nursery:
            for fault in schedule:
                nursery.start_soon(self._run_fault, fault, trio.current_time())

    async def _run_fault(self, fault: fault_types.Fault, schedule_start: float) -> None:
        await trio.sleep_until(schedule_start + fault.at_seconds)
        events.log("fault.begin", fault=fault.describe())
        self.active_faults.append(fault)
        await self._HANDLERS[fault.kind](self, fault)
        self.active_faults.remove(fault)
        if fault.kind in fault_types.PLATFORM_KINDS:
            await self._apply_platform_faults()
        if not fault.is_planned:
            self.unplanned_ended_at = trio.current_time()
        events.log("fault.end", fault=fault.describe())

    async def _kill(self, fault: fault_types.Fault) -> None:
        for name in fault.names:
            if self.simulation.processes[name].is_alive:
                self.simulation.kill(name)
        await trio.sleep(fault.duration_seconds)
        for name in fault.names:
            await self.start_process(name)

    async def _freeze(self, fault: fault_types.Fault) -> None:
        frozen = [self.simulation.processes[name] for name in fault.names]
        for process in frozen:
            process.freeze()
        await trio.sleep(fault.duration_seconds)
        for process in frozen:
            process.thaw()

    async def _slow_engine(self, fault: fault_types.Fault) -> None:
        faults = self.engine_faults[fault.names[0]]
        faults.slow_factor = float(fault.amount)
        await trio.sleep(fault.duration_seconds)
        faults.slow_factor = 1.0

    async def _silence_engine(self, fault: fault_types.Fault) -> None:
        faults = self.engine_faults[fault.names[0]]
        faults.silent = True
        await trio.sleep(fault.duration_seconds)
        faults.silent = False

    async def _lose_answers(self, fault: fault_types.Fault) -> None:
        faults = self.plain_faults[fault.names[0]]
        faults.lose_answers = True
        await trio.sleep(fault.duration_seconds)
        faults.lose_answers = False

    async def _partition_network(self, fault: fault_types.Fault) -> None:
        sides = frozenset(fault.names), frozenset(fault.opposite_names)
        self.simulation.net.links.add_partition(*sides)
        await trio.sleep(fault.duration_seconds)
        self.simulation.net.links.heal_partition(*sides)

    async def _silence_connections(self, fault: fault_types.Fault) -> None:
        for pair in self.simulation.net.open_connections:
            if any(end.process.name in fault.names for end in pair):
                for end in pair:
                    end.is_silent = True
        await trio.sleep(fault.duration_seconds)

    async def _reset_connections_after(self, fault: fault_types.Fault) -> None:
        with trio.move_on_after(fault.duration_seconds):
            while True:
                for pair in self.simulation.net.open_connections:
                    end = self.rng.choice(pair)
                    is_selected = any(side.process.name in fault.names for side in pair)
                    if is_selected and end.reset_after_bytes is None and self.rng.random() < 0.3:
                        end.reset_after_bytes = fault.amount
                await trio.sleep(POLL_INTERVAL_SECONDS)

    async def _hold_platform_fault(self, fault: fault_types.Fault) -> None:
        await self._apply_platform_faults()
        await trio.sleep(fault.duration_seconds)

    async def _apply_platform_faults(self) -> None:
        kinds = {fault.kind for fault in self.active_faults}
        rates = [fault.amount for fault in self.active_faults if fault.kind is _Kind.PLATFORM_RATE]
        faults = platform_faults.Faults(
            down=_Kind.PLATFORM_DOWN in kinds,
            slow_seconds=SLOW_PLATFORM_CALL_SECONDS if _Kind.PLATFORM_SLOW in kinds else 0.0,
            lose_answers=_Kind.PLATFORM_LOSES_ANSWERS in kinds,
            silent_watch=_Kind.PLATFORM_SILENT_WATCH in kinds,
            calls_per_second=min(rates, default=0),
            list_lag_seconds=self.list_lag_seconds,
        )
        await self.simulation.call(
            self.simulation.platform, message.json_request("POST", "/faults", faults)
        )

    async def _switch_presets(self, fault: fault_types.Fault) -> None:
        async with trio.open_nursery() as nursery:
            for number, preset in enumerate(fault.names):
                nursery.start_soon(self.ops.switch_preset, f"operator-{number}", preset)

    async def _stop_entry(self, fault: fault_types.Fault) -> None:
        name = fault.names[0]
        process = self.simulation.processes[name]
        self.simulation.stop_events[name].set()
        while process.is_alive:
            await trio.sleep(POLL_INTERVAL_SECONDS)
        await trio.sleep(fault.duration_seconds)
        await self.start_process(name)

    async def _remove_target(self, fault: fault_types.Fault) -> None:
        name = fault.names[0]
        process = self.simulation.processes[name]
        if not process.is_alive or name in self.leaving_since:
            return
        self.leaving_since[name] = trio.current_time()
        await self.simulation.register_instance(self._make_leaving_instance(name))
        await trio.sleep(fault.duration_seconds + KILL_AFTER_LEAVING_SECONDS)
        if process.is_alive:
            process.kill()
            self.simulation.net.reset_connections(process)
        await trio.sleep(1.0)
        await self.start_process(name)

    def _make_leaving_instance(self, name: str) -> instance.Instance:
        address = str(self.simulation.targets[name])
        state = instance.State.LEAVING
        for engine in self.layout.engines:
            if engine.name == name:
                return instance.Instance(
                    name,
                    address,
                    engine.data_centre,
                    instance.Kind.ENGINE,
                    engine.fabric_domain,
                    state=state,
                )
        target = next(
            placement for placement in self.layout.plain_targets if placement.name == name
        )
        return instance.Instance(
            name,
            address,
            target.data_centre,
            instance.Kind.PLAIN,
            service=topology.PLAIN_SERVICE,
            state=state,
        )

    _HANDLERS: abc.Mapping[
        fault_types.Kind, abc.Callable[[Injector, fault_types.Fault], abc.Awaitable[None]]
    ] = {
        _Kind.KILL: _kill,
        _Kind.DARK_DOMAIN: _kill,
        _Kind.FREEZE: _freeze,
        _Kind.STRAGGLER: _slow_engine,
        _Kind.ENGINE_SILENT: _silence_engine,
        _Kind.LOSE_ANSWERS: _lose_answers,
        _Kind.CUT: _partition_network,
        _Kind.SILENT_CONNECTIONS: _silence_connections,
        _Kind.CUT_AFTER: _reset_connections_after,
        _Kind.SWITCH_PRESET: _switch_presets,
        _Kind.OPERATOR_RACE: _switch_presets,
        _Kind.STOP_ENTRY: _stop_entry,
        _Kind.LEAVE: _remove_target,
        **dict.fromkeys(fault_types.PLATFORM_KINDS, _hold_platform_fault),
    }
