"""Runs one schedule on a simulated deployment under the eyes of an observer."""

from __future__ import annotations

import collections
import random
import traceback

import eliot
import trio

from galenavane.net import transport_error
from galenavane.observe import events
from galenavane.simulate import clock, deployment, owner
from galenavane.soak import (
    fault,
    injector,
    observer,
    operators,
    outcome,
    recovery,
    schedule,
    topology,
    trace,
    traffic,
    violation,
)

CALM_SECONDS = 5.0
START_SECONDS = 40.0
FIRST_PRESET = "ordinary"


class _Run:
    """The parts of one run that are looked at when it is over."""

    __slots__ = ("faults", "rng", "seconds", "seed", "seen", "told", "topology", "trace")

    def __init__(self, seed: int, faults: list[fault.Fault] | None, scale: topology.Scale) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.topology = topology.generate(self.rng, scale)
        made = schedule.generate(self.rng, self.topology, scale.seconds)
        self.faults = made if faults is None else faults
        self.seen: observer.Observer | None = None
        self.told: traffic.Traffic | None = None
        self.seconds = 0.0
        self.trace = trace.Trace(self._hear)

    def _hear(self, event: trace.Event) -> None:
        if self.seen is not None:
            self.seen.hear(event)


def run(
    seed: int,
    faults: list[fault.Fault] | None = None,
    scale: topology.Scale = topology.FULL,
) -> outcome.Outcome:
    """Run the schedule of a seed, or a part of it."""
    state = _Run(seed, faults, scale)
    crash = ""
    eliot.add_destinations(state.trace.take)
    try:
        clock.run(_main, seed, state)
    except (Exception, BaseExceptionGroup) as exc:
        crash = _describe_crash(exc)
    finally:
        eliot.remove_destination(state.trace.take)
    if state.trace.failed is not None and not crash:
        crash = f"observer: {_describe_crash(state.trace.failed)}"
    violations = list(state.seen.violations) if state.seen is not None else []
    if crash:
        last = state.trace.events[-1].at_seconds if state.trace.events else 0.0
        violations.append(violation.Violation(violation.CRASHED, last, crash))
    told = state.told.records if state.told is not None else []
    endings = collections.Counter(one.ending.value for one in told)
    return outcome.Outcome(
        seed,
        state.faults,
        violations,
        state.seconds,
        state.trace.digest(),
        dict(sorted(endings.items())),
        state.trace.events,
    )


def _describe_crash(exc: BaseException) -> str:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    frames = traceback.extract_tb(exc.__traceback__)
    where = " <- ".join(
        f"{one.filename.rpartition('galenavane/')[2]}:{one.lineno}" for one in frames[:-4:-1]
    )
    return f"{type(exc).__name__}: {exc} at {where}"


async def _main(state: _Run) -> None:
    events.set_source(events.Source("soak", "", "", deployment.wall_seconds))
    rng = random.Random(state.rng.getrandbits(64))
    async with trio.open_nursery() as nursery:
        made = deployment.Deployment(nursery, random.Random(state.rng.getrandbits(64)))
        ops = operators.Operators(made, topology.declare(state.topology))
        inject = injector.Injector(made, state.topology, rng, ops)
        await inject.start_all()
        await ops.switch("operator", FIRST_PRESET)
        assert ops.accepted, "the first configuration was not accepted"
        state.seen = observer.Observer(made, state.topology, inject, ops)
        for place in state.topology.entries:
            await inject.start(place.name)
        nursery.start_soon(state.seen.watch)
        await _wait_served(made)
        await _disturb(state, made, inject)
        await recovery.check(made, state.topology, ops, state.seen)
        assert state.told is not None
        state.seen.check_records(state.told.records, state.faults)
        state.seconds = trio.current_time()
        nursery.cancel_scope.cancel()


async def _wait_served(made: deployment.Deployment) -> None:
    """Wait until every entry has a configuration and a while for groups to form."""
    with trio.move_on_after(START_SECONDS):
        while any(view.configuration.value is None for view in made.views.values()):
            await trio.sleep(0.1)
        await trio.sleep(6.0)


async def _disturb(state: _Run, made: deployment.Deployment, inject: injector.Injector) -> None:
    assert state.seen is not None
    net = made.net.face(owner.Owner("caller"))
    callers = traffic.Traffic(net, made.entries, random.Random(state.seed), state.seen.report)
    state.told = callers
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, state.topology.scale.seconds + CALM_SECONDS)
        nursery.start_soon(_carry_out, state, inject)


async def _carry_out(state: _Run, inject: injector.Injector) -> None:
    try:
        await inject.run(state.faults)
    except transport_error.TransportError as exc:
        raise RuntimeError(f"the fault injector lost a call: {exc}") from exc
    await recovery.heal(inject, state.topology)
