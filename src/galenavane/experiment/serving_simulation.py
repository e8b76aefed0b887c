"""Entries with the real routing code, engine models and a workload on a virtual clock."""

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
REPORT_SECONDS = 1.0
REPORT_LAG_SECONDS = 1.0
PROOF_SECONDS = 2.0
EVENT_LAG_SECONDS = 1.5
EVENT_LOSS_EVERY = 500
TELL_SECONDS = 0.5
PEER_DELAY_SECONDS = 0.001
STEP_SECONDS = 0.1
FAILED_SECONDS = 0.01
MAX_TRIES = 5
NO_LIMIT = 1e12

MakeChooser = abc.Callable[[int], states.PickPolicy]


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """One run.

    :ivar load: offered load relative to the capacity without any cached prefix.
    :ivar is_admitted: ``False`` sends every request at once to the group chosen.
    :ivar make_chooser: gets the entry's number.
    """

    make_chooser: MakeChooser
    load: float
    seed: int
    is_admitted: bool = True
    groups: int = 65
    entries: int = 6
    seconds: float = 40.0
    lost_at: float = 25.0
    slow_factor: float = 3.0
    sizes: simulated_engine.Sizes = dataclasses.field(default_factory=simulated_engine.Sizes)


class Model:
    """The state of one run.

    :ivar requests: every request that has arrived.
    :ivar grants: time and priority of every grant.
    """

    __slots__ = (
        "_events",
        "_facts",
        "_told",
        "engines",
        "entries",
        "grants",
        "plan",
        "requests",
        "rng",
        "time",
    )

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.time = virtual_time.VirtualTime()
        self.entries = [states.State(plan.make_chooser(number)) for number in range(plan.entries)]
        self.engines = {
            name: simulated_engine.Engine(name, plan.sizes, self.time)
            for name in (f"group-{number:02d}" for number in range(plan.groups))
        }
        self.requests: list[workload.Request] = []
        self.grants: list[tuple[float, int]] = []
        self._facts: dict[str, group_report.GroupReport] = {}
        self._told: dict[int, shared_state.SharedState] = {}
        self._events: dict[str, int] = {}


def run(plan: Plan) -> Model:
    """Run a plan to the end."""
    model = Model(plan)
    names = list(model.engines)
    model.engines[names[1]].slow_factor = plan.slow_factor
    model.time.at(plan.lost_at, model.engines[names[2]].lose)
    for name in names:
        _learn_report(model, name, model.engines[name].load(), 0.0)
    _schedule(model)
    rng = random.Random(plan.seed)
    for req in workload.generate(offered(plan), plan.seconds, plan.entries, rng):
        model.requests.append(req)
        model.time.at(req.arrived_at, _arrival(model, req))
    model.time.run(plan.seconds + 10.0)
    return model


def offered(plan: Plan) -> float:
    """Return the offered requests a second."""
    sizes = plan.sizes
    seconds = workload.mean_request_seconds(sizes.token_seconds, sizes.prefill_tokens_per_second)
    return plan.load * plan.groups * sizes.capacity / seconds


def _schedule(model: Model) -> None:
    for engine in model.engines.values():
        phase = model.rng.random() * REPORT_SECONDS
        model.time.every(REPORT_SECONDS, phase, _reporter(model, engine))
        model.time.every(REPORT_SECONDS, phase, _event_reporter(model, engine))
    for number, entry in enumerate(model.entries):
        phase = model.rng.random() * TELL_SECONDS
        model.time.every(TELL_SECONDS, phase, _teller(model, number, entry))
        model.time.every(STEP_SECONDS, phase, _stepper(model, number, entry))


def _reporter(model: Model, engine: simulated_engine.Engine) -> virtual_time.Callback:
    def look() -> None:
        if engine.is_lost:
            return
        load, as_of = engine.load(), model.time.now
        model.time.at(
            as_of + REPORT_LAG_SECONDS, lambda: _learn_report(model, engine.name, load, as_of)
        )

    return look


def _learn_report(model: Model, name: str, load: report.Load, as_of: float) -> None:
    until = model.time.now + PROOF_SECONDS
    model._facts[name] = group_report.GroupReport(
        name, name, name, 1, POOL, load, as_of, frozenset(), 0.0, until
    )


def _event_reporter(model: Model, engine: simulated_engine.Engine) -> virtual_time.Callback:
    def look() -> None:
        kept = [one for one in engine.take_events() if one.number % EVENT_LOSS_EVERY]
        found = report.CacheEvents("1", kept)

        def learn() -> None:
            for entry in model.entries:
                entry.prefix_index.apply_events(engine.name, found)

        model.time.at(model.time.now + EVENT_LAG_SECONDS, learn)

    return look


def _teller(model: Model, number: int, entry: states.State) -> virtual_time.Callback:
    sender = state_delta.DeltaSender()

    def tell() -> None:
        update = sender.next_delta(router.describe_for_peers(entry, model.time.now))
        model.time.at(model.time.now + PEER_DELAY_SECONDS, lambda: hear(update))

    def hear(update: state_delta.Delta) -> None:
        before = model._told.get(number, shared_state.SharedState())
        model._told[number] = state_delta.apply(before, update)

    return tell


def _stepper(model: Model, number: int, entry: states.State) -> virtual_time.Callback:
    def step() -> None:
        now = model.time.now
        live = [one for one in model._facts.values() if one.complete_until >= now]
        told = {str(key): one for key, one in model._told.items() if key != number}
        router.update_peers(entry, told, 0)
        router.update_groups(entry, live, now)
        _carry_out(model, number, router.step(entry, now, model.rng))

    return step


def _arrival(model: Model, req: workload.Request) -> virtual_time.Callback:
    return lambda: _arrive(model, req, set(), req.answer_tokens)


def _ask(req: workload.Request, left: int) -> grants.RoutingRequest:
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
        req.prompt_tokens(),
        left,
        deadline,
    )


def _arrive(model: Model, req: workload.Request, tried: set[str], left: int) -> None:
    entry = model.entries[req.entry]
    ask = _ask(req, left)
    if not model.plan.is_admitted:
        _send_at_once(model, entry, req, ask, tried)
        return
    account = declaration.Account(req.account, "", NO_LIMIT, NO_LIMIT)
    found = router.submit(entry, ask, account, tried, model.time.now, model.rng)
    _carry_out(model, req.entry, found)


def _send_at_once(
    model: Model,
    entry: states.State,
    req: workload.Request,
    ask: grants.RoutingRequest,
    tried: set[str],
) -> None:
    now = model.time.now
    found = [
        candidates.Candidate(one.report.name, one.report.address, 1, one.report.load)
        for one in entry.groups.by_name.values()
        if one.report.complete_until >= now and one.report.name not in tried
    ]
    chosen = entry.pick(found, ask.prompt_tokens, model.rng)
    if chosen is None:
        req.is_refused = True
        return
    _submit(model, req, grants.Grant(ask, chosen, now), tried)


def _carry_out(model: Model, number: int, found: abc.Iterable[decision.Decision]) -> None:
    for one in found:
        if isinstance(one, decision.Refused):
            model.requests[int(one.request_id)].is_refused = True
        else:
            req = model.requests[int(one.grant.request.request_id)]
            _submit(model, req, one.grant, set())


def _submit(model: Model, req: workload.Request, grant: grants.Grant, tried: set[str]) -> None:
    model.grants.append((model.time.now, req.priority))
    if req.granted_at is None:
        req.granted_at = model.time.now
    sent_at = model.time.now
    seen: list[float] = []

    def first() -> None:
        seen.append(model.time.now - sent_at)
        if req.first_token_seconds is None:
            req.first_token_seconds = model.time.now - req.arrived_at

    def done(is_answered: bool) -> None:
        if is_answered:
            end(True)
        else:
            model.time.at(model.time.now + FAILED_SECONDS, lambda: end(False))

    def end(is_answered: bool) -> None:
        tokens = (
            grant.request.max_tokens
            if is_answered
            else min(len(seen), grant.request.max_tokens - 1)
        )
        ended = grants.AttemptResult(seen[0] if seen else None, tokens, not is_answered)
        entry = model.entries[req.entry]
        now = model.time.now
        _carry_out(model, req.entry, router.release(entry, grant, ended, now, model.rng))
        req.is_answered = is_answered
        again = tried | {grant.candidate.name}
        if not is_answered and len(again) < MAX_TRIES:
            _arrive(model, req, again, grant.request.max_tokens - tokens)

    engine = model.engines[grant.candidate.name]
    engine.submit(
        simulated_engine.Job(
            req.priority, req.blocks, req.prompt_tokens(), grant.request.max_tokens, first, done
        )
    )
