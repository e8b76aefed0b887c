"""The routing state machine of one entry: takes events and returns decisions."""

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

SMOOTHING_FACTOR = 0.05
"""Weight of a new value in the moving average of request durations."""
RESERVED_STEP = 0.03125
"""Resolution at which reserves are sent to peers."""


def submit(
    router: states.State,
    req: grants.RoutingRequest,
    account: declaration.Account,
    tried: abc.Set[str],
    now: float,
    rng: random.Random,
) -> list[decision.Decision]:
    """Add a request; it may be decided now or after a later event.

    :param tried: groups that failed the request before; a request with any is a retry.
    :returns: decisions about this and other requests.
    """
    item = queued_request.QueuedRequest(
        req, blocks.hash_blocks(req.prompt), set(tried), account.weight, now
    )
    refused = _refuse_by_limits(router, item, account, now)
    if refused is not None:
        return [refused]
    pool = _pool_of(req)
    pool_admission = router.admissions.setdefault(pool, admission.Admission())
    _update_in_flight_limit(router, pool, pool_admission, now)
    decisions: list[decision.Decision] = []
    decisions += pool_admission.offer(item, 0.0, now)
    for outcome in decisions:
        if isinstance(outcome, decision.Refused) and outcome.request_id == req.request_id:
            _refund(router, item)
    return decisions + _grant_all(router, pool, now, rng)


def cancel(router: states.State, req: grants.RoutingRequest) -> None:
    """Remove a queued request whose caller has disconnected."""
    pool_admission = router.admissions.get(_pool_of(req))
    if pool_admission is None:
        return
    for item in list(pool_admission.queue.items()):
        if item.request.request_id == req.request_id:
            pool_admission.queue.remove(item)
            _refund(router, item)


def release(
    router: states.State,
    granted: grants.Grant,
    result: grants.AttemptResult,
    now: float,
    rng: random.Random,
) -> list[decision.Decision]:
    """Record the result of a granted request, and grant its slot to the next one."""
    sent = router.sent_requests.pop(granted.request.request_id, None)
    if sent is None:
        return []
    router.in_flight.record_end(sent.group, sent.pool.key())
    _record_result(router, sent, granted, result, now)
    unused = granted.request.max_tokens - result.tokens
    router.account_limits.refund(granted.request.account, 0.0, float(max(0, unused)))
    return _grant_all(router, sent.pool, now, rng)


def step(router: states.State, now: float, rng: random.Random) -> list[decision.Decision]:
    """Refuse requests that are past their deadlines and grant others where slots are free.

    To be called several times per second.
    """
    router.in_flight.save_snapshot(now)
    decisions: list[decision.Decision] = []
    for pool, pool_admission in router.admissions.items():
        for item in pool_admission.expire(now):
            _refund(router, item)
            text = "no group had a free slot before the deadline"
            decisions.append(admission.refuse(item, codes.Code.DEADLINE, text, 0.0))
        _update_in_flight_limit(router, pool, pool_admission, now)
        decisions += _grant_all(router, pool, now, rng)
    return decisions


def update_groups(
    router: states.State, reports: abc.Iterable[group_report.GroupReport], now: float
) -> None:
    """Replace the known complete groups by those of new reports and tables."""
    router.groups.update(reports, router.in_flight)
    router.groups.refresh_estimates(router.in_flight, now)
    known = router.groups.by_name
    router.prefix_index.retain(known)
    router.concurrency.retain(known)
    router.slowdown.retain(known)
    router.in_flight.retain(known)


def update_peers(
    router: states.State, peer_states: abc.Mapping[str, shared_state.SharedState], unreachable: int
) -> None:
    """Replace the states of the reachable peers.

    :param peer_states: last state that each reachable peer sent, by entry name.
    :param unreachable: number of entries that are listed as live but can't be reached.
    """
    router.in_flight.update_peers([peer_state.sends for peer_state in peer_states.values()])
    router.account_limits.update_peers(
        [peer_state.demand for peer_state in peer_states.values()], unreachable
    )
    for pool, pool_admission in router.admissions.items():
        pool_admission.peer_reserved = [
            peer_state.reserved.get(pool.service, 0.0) for peer_state in peer_states.values()
        ]
    factors: dict[str, float] = {}
    for peer_state in peer_states.values():
        for leader, factor in peer_state.suspects.items():
            factors[leader] = max(factor, factors.get(leader, 1.0))
    router.slowdown.peer_factors = {
        group.report.name: factors[group.report.leader]
        for group in router.groups.by_name.values()
        if group.report.leader in factors
    }


def describe_for_peers(router: states.State, now: float) -> shared_state.SharedState:
    """Return the state to send to peers."""
    groups = router.groups.by_name
    service_of = {name: group.report.pool.service for name, group in groups.items()}
    slow = router.slowdown.slow_groups(service_of, now)
    suspects = {groups[name].report.leader: factor for name, factor in slow.items()}
    reserved = {
        pool.service: round(pool_admission.reserved / RESERVED_STEP) * RESERVED_STEP
        for pool, pool_admission in router.admissions.items()
        if pool_admission.reserved > 0
    }
    return shared_state.SharedState(
        dict(router.in_flight.own_by_pool),
        router.account_limits.advertise_demand(now),
        suspects,
        reserved=reserved,
        draining_sends={
            name: count
            for name, count in router.in_flight.own_by_group.items()
            if name not in groups
        },
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
    """Grant queued requests in order while this entry may send and a group has a free slot."""
    pool_admission = router.admissions.get(pool)
    decisions: list[decision.Decision] = []
    while pool_admission is not None:
        item = pool_admission.queue.peek()
        if item is None or not _may_send(router, pool, pool_admission, item):
            break
        candidate = choice.choose(router, pool, item, now, rng)
        if candidate is None:
            break
        first_token_seconds = pick.min_first_token(candidate, item.request.prompt_tokens)
        if now + first_token_seconds > item.request.deadline:
            pool_admission.queue.remove(item)
            _refund(router, item)
            text = f"the first token would take {first_token_seconds:.1f} s, past the deadline"
            decisions.append(admission.refuse(item, codes.Code.DEADLINE, text, first_token_seconds))
            continue
        pool_admission.grant(item, now)
        decisions.append(decision.Granted(grants.Grant(item.request, candidate, now)))
        _record_send(router, pool, item, candidate, now)
    return decisions


def _update_in_flight_limit(
    router: states.State, pool: pools.Pool, pool_admission: admission.Admission, now: float
) -> None:
    own_in_flight = router.in_flight.own_by_pool.get(pool.key(), 0)
    groups = router.groups
    pool_admission.update_in_flight_limit(
        own_in_flight,
        groups.others_in_flight(pool),
        groups.capacity(pool),
        router.in_flight.entries,
        now,
    )


def _may_send(
    router: states.State,
    pool: pools.Pool,
    pool_admission: admission.Admission,
    item: queued_request.QueuedRequest,
) -> bool:
    own_in_flight = router.in_flight.own_by_pool.get(pool.key(), 0)
    capacity = router.groups.capacity(pool)
    return pool_admission.may_send(
        own_in_flight, item.request.priority, capacity, router.in_flight.entries
    )


def _record_send(
    router: states.State,
    pool: pools.Pool,
    item: queued_request.QueuedRequest,
    candidate: candidates.Candidate,
    now: float,
) -> None:
    uncached_tokens = max(0, item.request.prompt_tokens - candidate.cached_tokens)
    prefill_seconds = uncached_tokens / candidate.load.prefill_tokens_per_second
    router.in_flight.record_send(candidate.name, pool.key(), now, prefill_seconds)
    router.groups.record_send(candidate.name, now, prefill_seconds)
    router.prefix_index.add_expected(candidate.name, item.blocks)
    predicted_seconds = pick.predict_first_token(candidate, item.request.prompt_tokens)
    router.sent_requests[item.request.request_id] = states.SentRequest(
        candidate.name, pool, predicted_seconds
    )


def _record_result(
    router: states.State,
    sent: states.SentRequest,
    granted: grants.Grant,
    result: grants.AttemptResult,
    now: float,
) -> None:
    first_token_seconds = None if result.failed else result.first_token_seconds
    if result.failed:
        router.slowdown.record_failure(sent.group, now)
    if result.failed or first_token_seconds is not None:
        router.concurrency.observe(sent.group, sent.predicted_seconds, first_token_seconds, now)
    if first_token_seconds is None or result.tokens < 2:
        return
    seconds = now - granted.sent_at
    token_seconds = (seconds - first_token_seconds) / (result.tokens - 1)
    router.slowdown.observe(granted.request.service, sent.group, token_seconds, now)
    mean = router.mean_request_seconds.setdefault(sent.pool, seconds)
    router.mean_request_seconds[sent.pool] = mean + SMOOTHING_FACTOR * (seconds - mean)


def _pool_of(req: grants.RoutingRequest) -> pools.Pool:
    return pools.Pool(req.service, req.model, req.version)
