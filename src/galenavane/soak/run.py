"""Runs one fault schedule on a simulated deployment and checks the invariants."""

from __future__ import annotations

import collections
import random
import traceback

import eliot
import trio

from galenavane.net import transport_error
from galenavane.observe import events
from galenavane.simulate import deployment, simulated_process, virtual_clock
from galenavane.soak import (
    fault_types,
    injector,
    invariant_checker,
    operators,
    recovery,
    run_result,
    schedule,
    topology,
    trace,
    traffic,
    violation,
)

TRAFFIC_AFTER_SCHEDULE_SECONDS = 5.0
START_TIMEOUT_SECONDS = 40.0
INITIAL_PRESET = "ordinary"


class _Run:
    """State of one run that its result is made from."""

    __slots__ = (
        "checker",
        "faults",
        "layout",
        "rng",
        "seed",
        "simulated_seconds",
        "trace",
        "traffic",
    )

    def __init__(
        self, seed: int, faults: list[fault_types.Fault] | None, scale: topology.Scale
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.layout = topology.generate(self.rng, scale)
        generated = schedule.generate(self.rng, self.layout, scale.schedule_seconds)
        self.faults = generated if faults is None else faults
        self.checker: invariant_checker.InvariantChecker | None = None
        self.traffic: traffic.Traffic | None = None
        self.simulated_seconds = 0.0
        self.trace = trace.Trace(self._check_event)

    def _check_event(self, event: trace.Event) -> None:
        if self.checker is not None:
            self.checker.check_event(event)


def run(
    seed: int,
    faults: list[fault_types.Fault] | None = None,
    scale: topology.Scale = topology.FULL,
) -> run_result.RunResult:
    """Run the schedule of a seed and return the result.

    :param faults: schedule to run instead of the generated one, such as a part of it.
    :param scale: size of the simulated deployment.
    """
    state = _Run(seed, faults, scale)
    crash_text = ""
    eliot.add_destinations(state.trace.add_message)
    try:
        virtual_clock.run(_run_simulation, seed, state)
    except (Exception, BaseExceptionGroup) as exc:
        crash_text = _describe_crash(exc)
    finally:
        eliot.remove_destination(state.trace.add_message)
    if state.trace.listener_error is not None and not crash_text:
        crash_text = f"invariant checker: {_describe_crash(state.trace.listener_error)}"
    violations = list(state.checker.violations) if state.checker is not None else []
    if crash_text:
        last_event_seconds = state.trace.events[-1].at_seconds if state.trace.events else 0.0
        violations.append(violation.Violation(violation.CRASHED, last_event_seconds, crash_text))
    caller_records = state.traffic.records if state.traffic is not None else []
    ending_counts = collections.Counter(record.ending.value for record in caller_records)
    return run_result.RunResult(
        seed,
        state.faults,
        violations,
        state.simulated_seconds,
        state.trace.digest(),
        dict(sorted(ending_counts.items())),
        state.trace.events,
    )


def _describe_crash(exc: BaseException) -> str:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    frames = traceback.extract_tb(exc.__traceback__)
    where = " <- ".join(
        f"{frame.filename.rpartition('galenavane/')[2]}:{frame.lineno}" for frame in frames[:-4:-1]
    )
    return f"{type(exc).__name__}: {exc} at {where}"


async def _run_simulation(state: _Run) -> None:
    events.set_source(events.Source("soak", "", "", deployment.wall_seconds))
    rng = random.Random(state.rng.getrandbits(64))
    async with trio.open_nursery() as nursery:
        simulation = deployment.Deployment(nursery, random.Random(state.rng.getrandbits(64)))
        ops = operators.Operators(simulation, topology.make_declarations(state.layout))
        fault_injector = injector.Injector(simulation, state.layout, rng, ops)
        await fault_injector.start_processes()
        await ops.switch_preset("operator", INITIAL_PRESET)
        assert ops.accepted, "the first configuration was not accepted"
        state.checker = invariant_checker.InvariantChecker(
            simulation, state.layout, fault_injector, ops
        )
        for placement in state.layout.entries:
            await fault_injector.start_process(placement.name)
        nursery.start_soon(state.checker.run)
        await _wait_started(simulation)
        await _run_traffic_and_faults(state, simulation, fault_injector)
        await recovery.check_recovered(simulation, state.layout, ops, state.checker)
        assert state.traffic is not None
        state.checker.check_records(state.traffic.records, state.faults)
        state.simulated_seconds = trio.current_time()
        nursery.cancel_scope.cancel()


async def _wait_started(simulation: deployment.Deployment) -> None:
    """Wait until every entry has a configuration, then give groups time to form."""
    with trio.move_on_after(START_TIMEOUT_SECONDS):
        while any(view.configuration.value is None for view in simulation.views.values()):
            await trio.sleep(0.1)
        await trio.sleep(6.0)


async def _run_traffic_and_faults(
    state: _Run, simulation: deployment.Deployment, fault_injector: injector.Injector
) -> None:
    assert state.checker is not None
    net = simulation.net.attach_process(simulated_process.SimulatedProcess("caller"))
    callers = traffic.Traffic(
        net, simulation.entries, random.Random(state.seed), state.checker.report
    )
    state.traffic = callers
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            callers.run, state.layout.scale.schedule_seconds + TRAFFIC_AFTER_SCHEDULE_SECONDS
        )
        nursery.start_soon(_run_faults, state, fault_injector)


async def _run_faults(state: _Run, fault_injector: injector.Injector) -> None:
    try:
        await fault_injector.run(state.faults)
    except transport_error.TransportError as exc:
        raise RuntimeError(f"fault injector's call to the platform failed: {exc}") from exc
    await recovery.end_faults(fault_injector, state.layout)
