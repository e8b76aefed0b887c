"""Routing of one entry: events in, decisions out."""

from __future__ import annotations

import random
from collections import abc

from galenavane.config import declaration
from galenavane.failure import code as codes
from galenavane.peer import shared_state
from galenavane.route import (
    admission,
    blocks,
    choice,
    decision,
    group_report,
    pick,
    queued_request,
    retry_budget,
)
from galenavane.route import candidate as candidates
from galenavane.route import grant as grants
from galenavane.route import pool as pools
from galenavane.route import state as states

LEARNING_RATE = 0.05
RESERVED_STEP = 0.03125


def submit(
    router: states.State,
    ask: grants.RoutingRequest,
    account: declaration.Account,
    tried: abc.Set[str],
    now: float,
    rng: random.Random,
) -> list[decision.Decision]:
    """Take in a request; the decision about it may come now or from a later event."""
    item = queued_request.QueuedRequest(
        ask, blocks.hash_blocks(ask.prompt), set(tried), account.weight, now
    )
    refused = _refuse_by_limits(router, item, account, now)
    if refused is not None:
        return [refused]
    pool = _pool(ask)
    gate = router.admissions.setdefault(pool, admission.Admission())
    _share_places(router, pool, gate, now)
    decisions: list[decision.Decision] = []
    decisions += gate.offer(item, 0.0, now)
    for one in decisions:
        if isinstance(one, decision.Refused) and one.request_id == ask.request_id:
            _refund(router, item)
    return decisions + _grant_all(router, pool, now, rng)


def cancel(router: states.State, ask: grants.RoutingRequest) -> None:
    """Forget a waiting request because its caller has gone away."""
    gate = router.admissions.get(_pool(ask))
    if gate is None:
        return
    for item in list(gate.queue.items()):
        if item.request.request_id == ask.request_id:
            gate.queue.remove(item)
            _refund(router, item)


def release(
    router: states.State,
    held: grants.Grant,
    ended: grants.AttemptResult,
    now: float,
    rng: random.Random,
) -> list[decision.Decision]:
    """Take in how a granted request went, and give its place to the next."""
    sent = router.sent_requests.pop(held.request.request_id, None)
    if sent is None:
        return []
    router.in_flight.record_end(sent.group, sent.pool.key())
    _learn(router, sent, held, ended, now)
    unused = held.request.max_tokens - ended.tokens
    router.account_limits.refund(held.request.account, 0.0, float(max(0, unused)))
    return _grant_all(router, sent.pool, now, rng)


def step(router: states.State, now: float, rng: random.Random) -> list[decision.Decision]:
    """Refuse what is late and grant what has become possible; called several times a second."""
    router.in_flight.save_snapshot(now)
    decisions: list[decision.Decision] = []
    for pool, gate in router.admissions.items():
        for item in gate.expire(now):
            _refund(router, item)
            text = "no group got free before the deadline"
            decisions.append(admission.refuse(item, codes.Code.DEADLINE, text, 0.0))
        _share_places(router, pool, gate, now)
        decisions += _grant_all(router, pool, now, rng)
    return decisions


def update_groups(
    router: states.State, found: abc.Iterable[group_report.GroupReport], now: float
) -> None:
    """Replace the complete groups by those of new reports and tables."""
    router.groups.update(found, router.in_flight)
    router.groups.refresh_estimates(router.in_flight, now)
    known = router.groups.by_name
    router.prefix_index.retain(known)
    router.concurrency.retain(known)
    router.slowdown.retain(known)
    router.in_flight.retain(known)


def update_peers(
    router: states.State, told: abc.Mapping[str, shared_state.SharedState], silent: int
) -> None:
    """Replace what peers told.

    :param silent: entries that are listed as live and are not heard.
    """
    router.in_flight.update_peers([one.sends for one in told.values()])
    router.account_limits.update_peers([one.demand for one in told.values()], silent)
    for pool, gate in router.admissions.items():
        gate.peer_reserved = [one.reserved.get(pool.service, 0.0) for one in told.values()]
    factors: dict[str, float] = {}
    for one in told.values():
        for leader, factor in one.suspects.items():
            factors[leader] = max(factor, factors.get(leader, 1.0))
    router.slowdown.peer_factors = {
        group.report.name: factors[group.report.leader]
        for group in router.groups.by_name.values()
        if group.report.leader in factors
    }


def describe_for_peers(router: states.State, now: float) -> shared_state.SharedState:
    """Return what peers are told."""
    groups = router.groups.by_name
    service_of = {name: one.report.pool.service for name, one in groups.items()}
    slow = router.slowdown.slow_groups(service_of, now)
    suspects = {groups[name].report.leader: factor for name, factor in slow.items()}
    reserved = {
        pool.service: round(gate.reserved / RESERVED_STEP) * RESERVED_STEP
        for pool, gate in router.admissions.items()
        if gate.reserved > 0
    }
    sends_by_pool = dict(router.in_flight.own_by_pool)
    return shared_state.SharedState(
        sends_by_pool, router.account_limits.advertise_demand(now), suspects, reserved=reserved
    )


def _refuse_by_limits(
    router: states.State,
    item: queued_request.QueuedRequest,
    account: declaration.Account,
    now: float,
) -> decision.Refused | None:
    budget = router.retry_budgets.setdefault(item.request.service, retry_budget.RetryBudget())
    if item.tried:
        if budget.try_spend():
            return None
        text = f'the retries of service "{item.request.service}" are used up'
        return admission.refuse(item, codes.Code.RETRY_BUDGET, text, 0.0)
    budget.earn()
    wait = router.account_limits.charge(account, item.cost(), now)
    if wait > 0:
        text = f'account "{account.name}" is over its limit'
        return admission.refuse(item, codes.Code.ACCOUNT_LIMIT, text, wait)
    return None


def _refund(router: states.State, item: queued_request.QueuedRequest) -> None:
    if not item.tried:
        router.account_limits.refund(item.request.account, 1.0, item.cost())


def _grant_all(
    router: states.State, pool: pools.Pool, now: float, rng: random.Random
) -> list[decision.Decision]:
    """Grant from the head of the queue while a group has a place."""
    gate = router.admissions.get(pool)
    decisions: list[decision.Decision] = []
    while gate is not None:
        item = gate.queue.peek()
        if item is None or not _has_place(router, pool, gate, item):
            break
        chosen = choice.choose(router, pool, item, now, rng)
        if chosen is None:
            break
        least = pick.min_first_token(chosen, item.request.prompt_tokens)
        if now + least > item.request.deadline:
            gate.queue.remove(item)
            _refund(router, item)
            text = f"the first token would take {least:.1f} s, past the deadline"
            decisions.append(admission.refuse(item, codes.Code.DEADLINE, text, least))
            continue
        gate.grant(item, now)
        decisions.append(decision.Granted(grants.Grant(item.request, chosen, now)))
        _note_sent(router, pool, item, chosen, now)
    return decisions


def _share_places(
    router: states.State, pool: pools.Pool, gate: admission.Admission, now: float
) -> None:
    own = router.in_flight.own_by_pool.get(pool.key(), 0)
    known = router.groups
    gate.update_in_flight_limit(
        own, known.others_in_flight(pool), known.capacity(pool), router.in_flight.entries, now
    )


def _has_place(
    router: states.State,
    pool: pools.Pool,
    gate: admission.Admission,
    item: queued_request.QueuedRequest,
) -> bool:
    own = router.in_flight.own_by_pool.get(pool.key(), 0)
    capacity = router.groups.capacity(pool)
    return gate.may_send(own, item.request.priority, capacity, router.in_flight.entries)


def _note_sent(
    router: states.State,
    pool: pools.Pool,
    item: queued_request.QueuedRequest,
    chosen: candidates.Candidate,
    now: float,
) -> None:
    left = max(0, item.request.prompt_tokens - chosen.cached_tokens)
    seconds = left / chosen.load.prefill_tokens_per_second
    router.in_flight.record_send(chosen.name, pool.key(), now, seconds)
    router.groups.record_send(chosen.name, now, seconds)
    router.prefix_index.add_expected(chosen.name, item.blocks)
    predicted = pick.predict_first_token(chosen, item.request.prompt_tokens)
    router.sent_requests[item.request.request_id] = states.SentRequest(chosen.name, pool, predicted)


def _learn(
    router: states.State,
    sent: states.SentRequest,
    held: grants.Grant,
    ended: grants.AttemptResult,
    now: float,
) -> None:
    first = None if ended.failed else ended.first_token_seconds
    if ended.failed:
        router.slowdown.record_failure(sent.group, now)
    if ended.failed or first is not None:
        router.concurrency.observe(sent.group, sent.predicted_seconds, first, now)
    if first is None or ended.tokens < 2:
        return
    seconds = now - held.sent_at
    between = (seconds - first) / (ended.tokens - 1)
    router.slowdown.observe(held.request.service, sent.group, between, now)
    usual = router.mean_request_seconds.setdefault(sent.pool, seconds)
    router.mean_request_seconds[sent.pool] = usual + LEARNING_RATE * (seconds - usual)


def _pool(ask: grants.RoutingRequest) -> pools.Pool:
    return pools.Pool(ask.service, ask.model, ask.version)
