"""Runs a planner over days of failures, step by step on a virtual clock."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
from collections import abc

from galenavane.config import declaration, head, in_force
from galenavane.control import commands, completeness, condition, damping, drain_check, plan, table
from galenavane.experiment import simulated_fleet as fleets
from galenavane.store import instance
from galenavane.target import command

DAY_SECONDS = 86_400.0
HOUR_SECONDS = 3_600.0
STEP_SECONDS = 0.5
MARGIN_SECONDS = 0.01
STREAM_SECONDS = 20.0
NOTICE_SECONDS = 120.0
RESTART_SECONDS = 600.0
REPLACE_SECONDS = 7_200.0
DARK_SECONDS = 3_600.0

ACCELERATORS = 12_000
FAILURES_A_DAY = 220 / ACCELERATORS
RESTARTS_A_DAY = 1_400 / ACCELERATORS
DARK_DOMAINS_A_DAY = 1 / 7 / ACCELERATORS

Planner = abc.Callable[[plan.Inputs], table.Table]


@dataclasses.dataclass(slots=True, frozen=True)
class Site:
    """A data centre to run.

    :ivar domains: instances of each fabric domain.
    :ivar members: instances that a group spans.
    :ivar groups: groups that are wanted.
    :ivar copies: further groups that stand by.
    """

    domains: tuple[int, ...]
    members: int
    groups: int
    copies: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """How groups are repaired.

    :ivar holds_weights: whether free instances hold weights ready.
    :ivar reloads_all: whether every member loads its weights when its group is formed.
    """

    name: str
    planner: Planner
    holds_weights: bool = False
    reloads_all: bool = False


@dataclasses.dataclass(slots=True)
class Totals:
    """What a run cost.

    :ivar downtime: seconds in which a wanted group did not serve.
    :ivar stranded: accelerator seconds idle beyond the spares.
    :ivar loads: weight loads.
    :ivar tables: table writes.
    """

    downtime: float = 0.0
    stranded: float = 0.0
    loads: int = 0
    tables: int = 0


class _Run:
    __slots__ = (
        "configuration",
        "current",
        "damping",
        "drained_at",
        "events",
        "fleet",
        "order",
        "policy",
        "quiet",
        "rng",
        "site",
        "totals",
    )

    def __init__(
        self, site: Site, policy: Policy, weights: tuple[float, float], rng: random.Random
    ) -> None:
        self.site = site
        self.policy = policy
        self.rng = rng
        self.configuration = configure(site, weights)
        self.fleet = fleets.Fleet(list(site.domains), policy.reloads_all)
        self.current = table.Table(fleets.DATA_CENTRE, 1, 0, 1 << table.EPOCH_BITS)
        self.damping = damping.State()
        self.quiet = drain_check.State()
        self.drained_at: dict[int, float] = {}
        self.totals = Totals()
        self.order = itertools.count()
        self.events: list[tuple[float, int, abc.Callable[[], None]]] = []

    def at(self, when: float, what: abc.Callable[[], None]) -> None:
        """Have something happen at a time."""
        heapq.heappush(self.events, (when, next(self.order), what))


def configure(site: Site, weights: tuple[float, float]) -> in_force.Configuration:
    """Return the configuration of a site."""
    declared = declaration.Declarations(
        declaration.Deployment("d", *weights),
        [declaration.Service("s", declaration.ServiceKind.MODEL, 0, site.members)],
        [declaration.Model("m", ["v1"])],
        [],
        [declaration.Preset("p")],
        [declaration.Run("p", "s", "m", "v1", {fleets.DATA_CENTRE: site.groups + site.copies})],
    )
    return in_force.Configuration(head.Head(1, {}, "p", "w"), declared)


def run(site: Site, policy: Policy, weights: tuple[float, float], days: float, seed: int) -> Totals:
    """Return what some days of failures cost; the first groups are formed beforehand."""
    state = _Run(site, policy, weights, random.Random(seed))
    state.current = plan.plan(_inputs(state, frozenset(), frozenset()))
    _settle_start(state)
    _schedule(state, days)
    end = days * DAY_SECONDS
    while state.fleet.now < end:
        wake = _step(state)
        _pass(state, min(wake, end))
    state.totals.loads = state.fleet.loads
    return state.totals


def _settle_start(state: _Run) -> None:
    for _ in range(1_000):
        orders = _orders(state, frozenset())
        if not orders and state.fleet.next_load_end() == math.inf:
            break
        for order in orders:
            state.fleet.obey(order.instance, order.command)
        if state.fleet.next_load_end() < math.inf:
            state.fleet.now = state.fleet.next_load_end()
            state.fleet.finish_loads()
    state.fleet.now = 0.0
    state.fleet.loads = 0


def _schedule(state: _Run, days: float) -> None:
    """Draw every failure beforehand, so that all policies meet the same ones."""
    names = sorted(state.fleet.machines)
    domains = sorted({one.listed.fabric_domain for one in state.fleet.machines.values()})
    for at in _times(state.rng, len(names) * FAILURES_A_DAY, days):
        _schedule_failure(state, at, state.rng.choice(names))
    for at in _times(state.rng, len(names) * RESTARTS_A_DAY, days):
        _schedule_restart(state, at, state.rng.choice(names))
    for at in _times(state.rng, len(names) * DARK_DOMAINS_A_DAY, days):
        _schedule_dark(state, at, state.rng.choice(domains))


def _times(rng: random.Random, rate_a_day: float, days: float) -> list[float]:
    times = []
    at = rng.expovariate(rate_a_day)
    while at < days:
        times.append(at * DAY_SECONDS)
        at += rng.expovariate(rate_a_day)
    return times


def _schedule_failure(state: _Run, at: float, name: str) -> None:
    state.at(at, lambda: state.fleet.fail(name))
    state.at(at + REPLACE_SECONDS, lambda: state.fleet.restart(name))


def _schedule_restart(state: _Run, at: float, name: str) -> None:
    leaving = instance.State.LEAVING
    state.at(at, lambda: state.fleet.set_state(name, leaving))
    state.at(at + NOTICE_SECONDS, lambda: state.fleet.fail(name))
    state.at(at + NOTICE_SECONDS + RESTART_SECONDS, lambda: state.fleet.restart(name))


def _schedule_dark(state: _Run, at: float, domain: str) -> None:
    """A switch: its instances fall silent and come back as if nothing happened."""
    for name, machine in state.fleet.machines.items():
        if machine.listed.fabric_domain == domain:
            state.at(at, lambda name=name: state.fleet.fail(name))  # type: ignore[misc]
            state.at(at + DARK_SECONDS, lambda name=name: state.fleet.revive(name))  # type: ignore[misc]


def _inputs(state: _Run, idle: frozenset[int], held_back: frozenset[str]) -> plan.Inputs:
    return plan.Inputs(
        state.configuration, state.current, state.fleet.seen, state.fleet.now, idle, held_back
    )


def _orders(state: _Run, held_back: frozenset[str]) -> list[commands.AddressedCommand]:
    inputs = commands.Inputs(
        state.configuration, state.current, state.fleet.seen, held_back, 1, state.fleet.now
    )
    orders = commands.list_due_commands(inputs)
    if state.policy.holds_weights:
        return orders
    return [one for one in orders if one.command.kind is not command.Kind.LOAD]


def _step(state: _Run) -> float:
    """Decide and command once; return when something happens next."""
    now = state.fleet.now
    held_back = damping.update(state.damping, state.fleet.seen, now)
    sends = _sends(state)
    idle = drain_check.update(state.quiet, state.current, state.fleet.seen, sends, now)
    planned = state.policy.planner(_inputs(state, idle, held_back))
    is_changed = planned is not state.current
    state.totals.tables += is_changed
    state.current = planned
    orders = _orders(state, held_back)
    for order in orders:
        state.fleet.obey(order.instance, order.command)
    wakes = [state.fleet.next_load_end(), *_silences(state), *_drains(state)]
    wakes.append((now // HOUR_SECONDS + 1) * HOUR_SECONDS)
    wakes.append(damping.find_next_release(state.damping, now))
    if state.events:
        wakes.append(state.events[0][0])
    if is_changed or orders:
        wakes.append(now + STEP_SECONDS)
    return max(min(wakes), now + MARGIN_SECONDS)


def _sends(state: _Run) -> dict[str, int]:
    """Return the streams that still run on draining groups."""
    draining = [one for one in state.current.groups if one.phase is table.Phase.DRAINING]
    before = state.drained_at
    state.drained_at = {one.epoch: before.get(one.epoch, state.fleet.now) for one in draining}
    return {
        one.name: 1
        for one in draining
        if state.fleet.now < state.drained_at[one.epoch] + STREAM_SECONDS
    }


def _drains(state: _Run) -> abc.Iterator[float]:
    for one in state.current.groups:
        if one.phase is table.Phase.DRAINING:
            at = state.drained_at.get(one.epoch)
            if at is None:
                yield state.fleet.now + STEP_SECONDS
                continue
            for due in (at + STREAM_SECONDS, at + STREAM_SECONDS + drain_check.MIN_IDLE_SECONDS):
                if due + MARGIN_SECONDS > state.fleet.now:
                    yield due + MARGIN_SECONDS


def _silences(state: _Run) -> abc.Iterator[float]:
    for one in state.fleet.machines.values():
        due = one.died_at + condition.MAX_SILENCE_SECONDS + MARGIN_SECONDS
        if state.fleet.now < due < math.inf:
            yield due


def _pass(state: _Run, until: float) -> None:
    """Let time pass, add up what it costs, and let due things happen."""
    fleet = state.fleet
    seconds = until - fleet.now
    wanted = state.site.groups
    complete = [
        one
        for one in state.current.groups
        if one.phase is table.Phase.ACTIVE
        and completeness.is_complete(one, fleet.seen, fleet.now)
        and all(fleet.machines[member.instance].died_at > fleet.now for member in one.members)
    ]
    live = sum(1 for one in fleet.machines.values() if one.died_at > fleet.now)
    spares = len(fleet.machines) - wanted * state.site.members
    busy = min(len(complete), wanted) * state.site.members
    state.totals.downtime += max(0, wanted - len(complete)) * seconds
    state.totals.stranded += max(0, live - busy - spares) * seconds
    fleet.now = until
    fleet.finish_loads()
    while state.events and state.events[0][0] <= until:
        heapq.heappop(state.events)[2]()
