"""Simulates a planner over days of instance failures on a virtual clock."""

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
STEP_INTERVAL_SECONDS = 0.5
"""Maximum delay of the next control step after one that changed the table or sent commands."""
WAKE_MARGIN_SECONDS = 0.01
"""Added to the ends of drains and silences at which a step is due; minimum time between steps."""
STREAM_DRAIN_SECONDS = 20.0
"""Time for which a draining group still has a stream in flight."""
RESTART_NOTICE_SECONDS = 120.0
"""Time between the notice of a planned restart and the restart."""
RESTART_SECONDS = 600.0
"""Time that an instance doesn't respond during a planned restart."""
REPLACEMENT_SECONDS = 7_200.0
"""Time from an instance's failure until it is restarted, as if replaced."""
DOMAIN_OUTAGE_SECONDS = 3_600.0
"""Time for which a failed switch cuts off its fabric domain."""

ACCELERATORS = 12_000
FAILURES_PER_INSTANCE_DAY = 220 / ACCELERATORS
RESTARTS_PER_INSTANCE_DAY = 1_400 / ACCELERATORS
DOMAIN_OUTAGES_PER_INSTANCE_DAY = 1 / 7 / ACCELERATORS

Planner = abc.Callable[[plan.Inputs], table.Table]


@dataclasses.dataclass(slots=True, frozen=True)
class Site:
    """A data centre and its groups.

    :ivar domain_sizes: number of instances in each fabric domain.
    :ivar group_size: number of instances in a group.
    :ivar group_count: number of groups that have to serve.
    :ivar standby_count: number of additional standby groups.
    """

    domain_sizes: tuple[int, ...]
    group_size: int
    group_count: int
    standby_count: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """How groups are repaired.

    :ivar preloads_spares: whether free instances load weights in advance.
    :ivar reloads_on_join: whether each member loads its weights again when a group is formed.
    """

    name: str
    planner: Planner
    preloads_spares: bool = False
    reloads_on_join: bool = False


@dataclasses.dataclass(slots=True)
class Totals:
    """Costs of a simulation.

    :ivar downtime_seconds: seconds without service, summed over the groups that have to serve.
    :ivar stranded_seconds: seconds that live instances beyond the spares were idle, summed.
    :ivar load_count: number of weight loads.
    :ivar table_count: number of table writes.
    """

    downtime_seconds: float = 0.0
    stranded_seconds: float = 0.0
    load_count: int = 0
    table_count: int = 0


class _Simulation:
    __slots__ = (
        "configuration",
        "current",
        "damping_state",
        "drain_state",
        "draining_since",
        "event_numbers",
        "events",
        "fleet",
        "policy",
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
        self.configuration = make_configuration(site, weights)
        self.fleet = fleets.Fleet(list(site.domain_sizes), policy.reloads_on_join)
        self.current = table.Table(fleets.DATA_CENTRE, 1, 0, 1 << table.EPOCH_BITS)
        self.damping_state = damping.State()
        self.drain_state = drain_check.State()
        self.draining_since: dict[int, float] = {}
        self.totals = Totals()
        self.event_numbers = itertools.count()
        self.events: list[tuple[float, int, abc.Callable[[], None]]] = []

    def schedule(self, when: float, callback: abc.Callable[[], None]) -> None:
        """Run a callback at a virtual time in seconds."""
        heapq.heappush(self.events, (when, next(self.event_numbers), callback))


def make_configuration(site: Site, weights: tuple[float, float]) -> in_force.Configuration:
    """Return a configuration that declares the groups of a site.

    :param weights: downtime weight and stranded weight of the deployment.
    """
    declared = declaration.Declarations(
        declaration.Deployment("d", *weights),
        [declaration.Service("s", declaration.ServiceKind.MODEL, 0, site.group_size)],
        [declaration.Model("m", ["v1"])],
        [],
        [declaration.Preset("p")],
        [
            declaration.Run(
                "p", "s", "m", "v1", {fleets.DATA_CENTRE: site.group_count + site.standby_count}
            )
        ],
    )
    return in_force.Configuration(head.Head(1, {}, "p", "w"), declared)


def run(site: Site, policy: Policy, weights: tuple[float, float], days: float, seed: int) -> Totals:
    """Simulate some days of failures and return their costs.

    The first groups are formed before the start, and their weight loads don't count.

    :param weights: downtime weight and stranded weight of the deployment.
    """
    simulation = _Simulation(site, policy, weights, random.Random(seed))
    simulation.current = plan.plan(_make_plan_inputs(simulation, frozenset(), frozenset()))
    _form_first_groups(simulation)
    _schedule_failures(simulation, days)
    end = days * DAY_SECONDS
    while simulation.fleet.now < end:
        wake_at = _step(simulation)
        _advance(simulation, min(wake_at, end))
    simulation.totals.load_count = simulation.fleet.load_count
    return simulation.totals


def _form_first_groups(simulation: _Simulation) -> None:
    for _ in range(1_000):
        due_commands = _list_commands(simulation, frozenset())
        if not due_commands and simulation.fleet.find_next_load_end() == math.inf:
            break
        for addressed in due_commands:
            simulation.fleet.execute(addressed.instance, addressed.command)
        if simulation.fleet.find_next_load_end() < math.inf:
            simulation.fleet.now = simulation.fleet.find_next_load_end()
            simulation.fleet.finish_loads()
    simulation.fleet.now = 0.0
    simulation.fleet.load_count = 0


def _schedule_failures(simulation: _Simulation, days: float) -> None:
    """Draw all failures in advance, so that all policies are compared on the same ones."""
    instance_names = sorted(simulation.fleet.instances)
    domains = sorted(
        {simulated.record.fabric_domain for simulated in simulation.fleet.instances.values()}
    )
    for at in _draw_times(simulation.rng, len(instance_names) * FAILURES_PER_INSTANCE_DAY, days):
        _schedule_instance_failure(simulation, at, simulation.rng.choice(instance_names))
    for at in _draw_times(simulation.rng, len(instance_names) * RESTARTS_PER_INSTANCE_DAY, days):
        _schedule_restart(simulation, at, simulation.rng.choice(instance_names))
    for at in _draw_times(
        simulation.rng, len(instance_names) * DOMAIN_OUTAGES_PER_INSTANCE_DAY, days
    ):
        _schedule_domain_outage(simulation, at, simulation.rng.choice(domains))


def _draw_times(rng: random.Random, rate_per_day: float, days: float) -> list[float]:
    times = []
    at = rng.expovariate(rate_per_day)
    while at < days:
        times.append(at * DAY_SECONDS)
        at += rng.expovariate(rate_per_day)
    return times


def _schedule_instance_failure(simulation: _Simulation, at: float, name: str) -> None:
    simulation.schedule(at, lambda: simulation.fleet.fail(name))
    simulation.schedule(at + REPLACEMENT_SECONDS, lambda: simulation.fleet.restart(name))


def _schedule_restart(simulation: _Simulation, at: float, name: str) -> None:
    leaving = instance.State.LEAVING
    simulation.schedule(at, lambda: simulation.fleet.set_state(name, leaving))
    simulation.schedule(at + RESTART_NOTICE_SECONDS, lambda: simulation.fleet.fail(name))
    simulation.schedule(
        at + RESTART_NOTICE_SECONDS + RESTART_SECONDS, lambda: simulation.fleet.restart(name)
    )


def _schedule_domain_outage(simulation: _Simulation, at: float, domain: str) -> None:
    """Schedule a switch failure: the domain's instances are cut off and return with their state."""
    for name, simulated in simulation.fleet.instances.items():
        if simulated.record.fabric_domain == domain:
            simulation.schedule(at, lambda name=name: simulation.fleet.fail(name))  # type: ignore[misc]
            simulation.schedule(
                at + DOMAIN_OUTAGE_SECONDS,
                lambda name=name: simulation.fleet.revive(name),  # type: ignore[misc]
            )


def _make_plan_inputs(
    simulation: _Simulation, drained_epochs: frozenset[int], held_back: frozenset[str]
) -> plan.Inputs:
    return plan.Inputs(
        simulation.configuration,
        simulation.current,
        simulation.fleet.statuses,
        simulation.fleet.now,
        drained_epochs,
        held_back,
    )


def _list_commands(
    simulation: _Simulation, held_back: frozenset[str]
) -> list[commands.AddressedCommand]:
    inputs = commands.Inputs(
        simulation.configuration,
        simulation.current,
        simulation.fleet.statuses,
        held_back,
        1,
        simulation.fleet.now,
    )
    due_commands = commands.list_due_commands(inputs)
    if simulation.policy.preloads_spares:
        return due_commands
    return [
        addressed for addressed in due_commands if addressed.command.kind is not command.Kind.LOAD
    ]


def _step(simulation: _Simulation) -> float:
    """Run one control step; return the virtual time in seconds of the next one."""
    now = simulation.fleet.now
    held_back = damping.update(simulation.damping_state, simulation.fleet.statuses, now)
    streams = _count_streams(simulation)
    drained_epochs = drain_check.update(
        simulation.drain_state, simulation.current, simulation.fleet.statuses, streams, now
    )
    planned = simulation.policy.planner(_make_plan_inputs(simulation, drained_epochs, held_back))
    is_changed = planned is not simulation.current
    simulation.totals.table_count += is_changed
    simulation.current = planned
    due_commands = _list_commands(simulation, held_back)
    for addressed in due_commands:
        simulation.fleet.execute(addressed.instance, addressed.command)
    wake_times = [
        simulation.fleet.find_next_load_end(),
        *_list_silence_ends(simulation),
        *_list_drain_ends(simulation),
    ]
    wake_times.append((now // HOUR_SECONDS + 1) * HOUR_SECONDS)
    wake_times.append(damping.find_next_release(simulation.damping_state, now))
    if simulation.events:
        wake_times.append(simulation.events[0][0])
    if is_changed or due_commands:
        wake_times.append(now + STEP_INTERVAL_SECONDS)
    return max(min(wake_times), now + WAKE_MARGIN_SECONDS)


def _count_streams(simulation: _Simulation) -> dict[str, int]:
    """Return the numbers of streams in flight on draining groups, by group name."""
    draining = [group for group in simulation.current.groups if group.phase is table.Phase.DRAINING]
    previous = simulation.draining_since
    simulation.draining_since = {
        group.epoch: previous.get(group.epoch, simulation.fleet.now) for group in draining
    }
    return {
        group.name: 1
        for group in draining
        if simulation.fleet.now < simulation.draining_since[group.epoch] + STREAM_DRAIN_SECONDS
    }


def _list_drain_ends(simulation: _Simulation) -> abc.Iterator[float]:
    for group in simulation.current.groups:
        if group.phase is table.Phase.DRAINING:
            draining_since = simulation.draining_since.get(group.epoch)
            if draining_since is None:
                yield simulation.fleet.now + STEP_INTERVAL_SECONDS
                continue
            for ends_at in (
                draining_since + STREAM_DRAIN_SECONDS,
                draining_since + STREAM_DRAIN_SECONDS + drain_check.MIN_IDLE_SECONDS,
            ):
                if ends_at + WAKE_MARGIN_SECONDS > simulation.fleet.now:
                    yield ends_at + WAKE_MARGIN_SECONDS


def _list_silence_ends(simulation: _Simulation) -> abc.Iterator[float]:
    for simulated in simulation.fleet.instances.values():
        ends_at = simulated.silent_since + condition.MAX_SILENCE_SECONDS + WAKE_MARGIN_SECONDS
        if simulation.fleet.now < ends_at < math.inf:
            yield ends_at


def _advance(simulation: _Simulation, until: float) -> None:
    """Advance the virtual clock, add the costs of the time passed and run due callbacks."""
    fleet = simulation.fleet
    elapsed_seconds = until - fleet.now
    group_count = simulation.site.group_count
    complete = [
        group
        for group in simulation.current.groups
        if group.phase is table.Phase.ACTIVE
        and completeness.is_complete(group, fleet.statuses, fleet.now)
        and all(
            fleet.instances[member.instance].silent_since > fleet.now for member in group.members
        )
    ]
    live_count = sum(
        1 for simulated in fleet.instances.values() if simulated.silent_since > fleet.now
    )
    spare_count = len(fleet.instances) - group_count * simulation.site.group_size
    busy_count = min(len(complete), group_count) * simulation.site.group_size
    simulation.totals.downtime_seconds += max(0, group_count - len(complete)) * elapsed_seconds
    simulation.totals.stranded_seconds += (
        max(0, live_count - busy_count - spare_count) * elapsed_seconds
    )
    fleet.now = until
    fleet.finish_loads()
    while simulation.events and simulation.events[0][0] <= until:
        heapq.heappop(simulation.events)[2]()
