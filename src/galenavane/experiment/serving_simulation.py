"""Simulates entries with the real routing code and modelled engines on a virtual clock."""

from __future__ import annotations

import dataclasses
import random
from collections import abc

from galenavane.config import declaration
from galenavane.experiment import simulated_engine, virtual_time, workload
from galenavane.peer import shared_state, state_delta
from galenavane.route import candidate as candidates
from galenavane.route import decision, group_report, pool, router
from galenavane.route import grant as grants
from galenavane.route import state as states
from galenavane.target import report

POOL = pool.Pool("scribe-model", "scribe", "1")
REPORT_INTERVAL_SECONDS = 1.0
REPORT_DELAY_SECONDS = 1.0
REPORT_VALID_SECONDS = 2.0
"""Time after delivery of a report for which its group counts as complete."""
EVENT_DELAY_SECONDS = 1.5
LOST_EVENT_INTERVAL = 500
"""One in this many cache events is lost."""
PEER_INTERVAL_SECONDS = 0.5
PEER_DELAY_SECONDS = 0.001
STEP_INTERVAL_SECONDS = 0.1
FAILURE_DELAY_SECONDS = 0.01
MAX_ATTEMPTS = 5
NO_LIMIT = 1e12

MakePickPolicy = abc.Callable[[int], states.PickPolicy]


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """Parameters of one simulation.

    One group is slow from the start and another one fails permanently during the run.

    :ivar make_pick_policy: returns the policy of an entry, by its number.
    :ivar relative_load: offered load relative to the capacity without any cached prefix.
    :ivar has_admission_control: ``False`` sends each request to the picked group at once.
    :ivar duration_seconds: time during which requests arrive.
    :ivar group_fails_at: virtual time in seconds at which the third group fails.
    :ivar slowdown_factor: how many times slower the second group is than it reports.
    """

    make_pick_policy: MakePickPolicy
    relative_load: float
    seed: int
    has_admission_control: bool = True
    group_count: int = 65
    entry_count: int = 6
    duration_seconds: float = 40.0
    group_fails_at: float = 25.0
    slowdown_factor: float = 3.0
    engine_spec: simulated_engine.EngineSpec = dataclasses.field(
        default_factory=simulated_engine.EngineSpec
    )


class Simulation:
    """State of one simulation.

    :ivar entries: routing states by entry number.
    :ivar engines: engines by group name.
    :ivar requests: all requests by number.
    :ivar grants: virtual time in seconds and priority of every grant.
    """

    __slots__ = (
        "_events",
        "_peer_states",
        "_reports",
        "clock",
        "engines",
        "entries",
        "grants",
        "requests",
        "rng",
        "scenario",
    )

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.clock = virtual_time.VirtualTime()
        self.entries = [
            states.State(scenario.make_pick_policy(number))
            for number in range(scenario.entry_count)
        ]
        self.engines = {
            name: simulated_engine.Engine(name, scenario.engine_spec, self.clock)
            for name in (f"group-{number:02d}" for number in range(scenario.group_count))
        }
        self.requests: list[workload.Request] = []
        self.grants: list[tuple[float, int]] = []
        self._reports: dict[str, group_report.GroupReport] = {}
        self._peer_states: dict[int, shared_state.SharedState] = {}
        self._events: dict[str, int] = {}


def run(scenario: Scenario) -> Simulation:
    """Run a scenario to its end and return the final state."""
    simulation = Simulation(scenario)
    group_names = list(simulation.engines)
    simulation.engines[group_names[1]].slowdown_factor = scenario.slowdown_factor
    simulation.clock.schedule_at(scenario.group_fails_at, simulation.engines[group_names[2]].fail)
    for group_name in group_names:
        _deliver_report(simulation, group_name, simulation.engines[group_name].measure_load(), 0.0)
    _schedule_periodic(simulation)
    rng = random.Random(scenario.seed)
    for req in workload.generate(
        compute_request_rate(scenario), scenario.duration_seconds, scenario.entry_count, rng
    ):
        simulation.requests.append(req)
        simulation.clock.schedule_at(req.arrived_at, _make_arrival_callback(simulation, req))
    simulation.clock.run_until(scenario.duration_seconds + 10.0)
    return simulation


def compute_request_rate(scenario: Scenario) -> float:
    """Return the offered requests per second."""
    spec = scenario.engine_spec
    mean_seconds = workload.compute_mean_request_seconds(
        spec.token_seconds, spec.prefill_tokens_per_second
    )
    return scenario.relative_load * scenario.group_count * spec.capacity / mean_seconds


def _schedule_periodic(simulation: Simulation) -> None:
    for engine in simulation.engines.values():
        phase = simulation.rng.random() * REPORT_INTERVAL_SECONDS
        simulation.clock.schedule_every(
            REPORT_INTERVAL_SECONDS, phase, _make_report_callback(simulation, engine)
        )
        simulation.clock.schedule_every(
            REPORT_INTERVAL_SECONDS, phase, _make_event_callback(simulation, engine)
        )
    for entry_number, entry in enumerate(simulation.entries):
        phase = simulation.rng.random() * PEER_INTERVAL_SECONDS
        simulation.clock.schedule_every(
            PEER_INTERVAL_SECONDS, phase, _make_peer_callback(simulation, entry_number, entry)
        )
        simulation.clock.schedule_every(
            STEP_INTERVAL_SECONDS, phase, _make_step_callback(simulation, entry_number, entry)
        )


def _make_report_callback(
    simulation: Simulation, engine: simulated_engine.Engine
) -> virtual_time.Callback:
    def send_report() -> None:
        if engine.has_failed:
            return
        load, as_of = engine.measure_load(), simulation.clock.now
        simulation.clock.schedule_at(
            as_of + REPORT_DELAY_SECONDS,
            lambda: _deliver_report(simulation, engine.name, load, as_of),
        )

    return send_report


def _deliver_report(simulation: Simulation, name: str, load: report.Load, as_of: float) -> None:
    valid_until = simulation.clock.now + REPORT_VALID_SECONDS
    simulation._reports[name] = group_report.GroupReport(
        name, name, name, 1, POOL, load, as_of, frozenset(), 0.0, valid_until
    )


def _make_event_callback(
    simulation: Simulation, engine: simulated_engine.Engine
) -> virtual_time.Callback:
    def send_events() -> None:
        delivered = [event for event in engine.drain_events() if event.number % LOST_EVENT_INTERVAL]
        cache_events = report.CacheEvents("1", delivered)

        def deliver() -> None:
            for entry in simulation.entries:
                entry.prefix_index.apply_events(engine.name, cache_events)

        simulation.clock.schedule_at(simulation.clock.now + EVENT_DELAY_SECONDS, deliver)

    return send_events


def _make_peer_callback(
    simulation: Simulation, entry_number: int, entry: states.State
) -> virtual_time.Callback:
    sender = state_delta.DeltaSender()

    def send() -> None:
        delta = sender.next_delta(router.describe_for_peers(entry, simulation.clock.now))
        simulation.clock.schedule_at(
            simulation.clock.now + PEER_DELAY_SECONDS, lambda: receive(delta)
        )

    def receive(delta: state_delta.Delta) -> None:
        previous = simulation._peer_states.get(entry_number, shared_state.SharedState())
        simulation._peer_states[entry_number] = state_delta.apply(previous, delta)

    return send


def _make_step_callback(
    simulation: Simulation, entry_number: int, entry: states.State
) -> virtual_time.Callback:
    def step() -> None:
        now = simulation.clock.now
        valid_reports = [
            known_report
            for known_report in simulation._reports.values()
            if known_report.complete_until >= now
        ]
        peer_states = {
            str(key): peer_state
            for key, peer_state in simulation._peer_states.items()
            if key != entry_number
        }
        router.update_peers(entry, peer_states, 0)
        router.update_groups(entry, valid_reports, now)
        _apply_decisions(simulation, entry_number, router.step(entry, now, simulation.rng))

    return step


def _make_arrival_callback(simulation: Simulation, req: workload.Request) -> virtual_time.Callback:
    return lambda: _submit_to_router(simulation, req, set(), req.output_tokens)


def _make_routing_request(req: workload.Request, tokens_left: int) -> grants.RoutingRequest:
    deadline = req.arrived_at + workload.DEADLINE_SECONDS[req.priority]
    if req.first_token_seconds is not None:
        deadline = NO_LIMIT
    return grants.RoutingRequest(
        str(req.number),
        req.account,
        POOL.service,
        POOL.model,
        POOL.version,
        "",
        req.priority,
        req.prompt,
        req.count_prompt_tokens(),
        tokens_left,
        deadline,
    )


def _submit_to_router(
    simulation: Simulation, req: workload.Request, tried: set[str], tokens_left: int
) -> None:
    entry = simulation.entries[req.entry_number]
    routing_req = _make_routing_request(req, tokens_left)
    if not simulation.scenario.has_admission_control:
        _send_without_admission(simulation, entry, req, routing_req, tried)
        return
    account = declaration.Account(req.account, "", NO_LIMIT, NO_LIMIT)
    decisions = router.submit(
        entry, routing_req, account, tried, simulation.clock.now, simulation.rng
    )
    _apply_decisions(simulation, req.entry_number, decisions)


def _send_without_admission(
    simulation: Simulation,
    entry: states.State,
    req: workload.Request,
    routing_req: grants.RoutingRequest,
    tried: set[str],
) -> None:
    now = simulation.clock.now
    available = [
        candidates.Candidate(group.report.name, group.report.address, 1, group.report.load)
        for group in entry.groups.by_name.values()
        if group.report.complete_until >= now and group.report.name not in tried
    ]
    chosen = entry.pick(available, routing_req.prompt_tokens, simulation.rng)
    if chosen is None:
        req.is_refused = True
        return
    _send_to_engine(simulation, req, grants.Grant(routing_req, chosen, now), tried)


def _apply_decisions(
    simulation: Simulation, entry_number: int, decisions: abc.Iterable[decision.Decision]
) -> None:
    for made_decision in decisions:
        if isinstance(made_decision, decision.Refused):
            simulation.requests[int(made_decision.request_id)].is_refused = True
        else:
            req = simulation.requests[int(made_decision.grant.request.request_id)]
            _send_to_engine(simulation, req, made_decision.grant, set())


def _send_to_engine(
    simulation: Simulation, req: workload.Request, grant: grants.Grant, tried: set[str]
) -> None:
    simulation.grants.append((simulation.clock.now, req.priority))
    if req.granted_at is None:
        req.granted_at = simulation.clock.now
    sent_at = simulation.clock.now
    first_token_delays: list[float] = []

    def on_first_token() -> None:
        first_token_delays.append(simulation.clock.now - sent_at)
        if req.first_token_seconds is None:
            req.first_token_seconds = simulation.clock.now - req.arrived_at

    def on_done(is_answered: bool) -> None:
        if is_answered:
            finish(True)
        else:
            simulation.clock.schedule_at(
                simulation.clock.now + FAILURE_DELAY_SECONDS, lambda: finish(False)
            )

    def finish(is_answered: bool) -> None:
        tokens = (
            grant.request.max_tokens
            if is_answered
            else min(len(first_token_delays), grant.request.max_tokens - 1)
        )
        result = grants.AttemptResult(
            first_token_delays[0] if first_token_delays else None, tokens, not is_answered
        )
        entry = simulation.entries[req.entry_number]
        now = simulation.clock.now
        _apply_decisions(
            simulation, req.entry_number, router.release(entry, grant, result, now, simulation.rng)
        )
        req.is_answered = is_answered
        tried_now = tried | {grant.candidate.name}
        if not is_answered and len(tried_now) < MAX_ATTEMPTS:
            _submit_to_router(simulation, req, tried_now, grant.request.max_tokens - tokens)

    engine = simulation.engines[grant.candidate.name]
    engine.submit(
        simulated_engine.Job(
            req.priority,
            req.block_hashes,
            req.count_prompt_tokens(),
            grant.request.max_tokens,
            on_first_token,
            on_done,
        )
    )
