"""Routing of one entry: events in, decisions out."""

from __future__ import annotations

import dataclasses
import random
from collections import abc

from galenavane.config import declaration
from galenavane.failure import code as codes
from galenavane.peer import facts
from galenavane.route import (
    account_limits,
    admission,
    blocks,
    concurrency,
    decision,
    fleet,
    group_facts,
    pick,
    prefix_index,
    retry_budget,
    sends,
    suspicion,
    tracked,
    waiting,
)
from galenavane.route import candidate as candidates
from galenavane.route import grant as grants
from galenavane.route import pool as pools

CHARACTERS_PER_TOKEN = 4
LEARNING_RATE = 0.05
FIRST_REQUEST_SECONDS = 1.0

Chooser = abc.Callable[
    [abc.Sequence[candidates.Candidate], int, random.Random], candidates.Candidate | None
]


@dataclasses.dataclass(slots=True, frozen=True)
class _Sent:
    """A granted request until it ends.

    :ivar predicted_seconds: predicted time to first token.
    """

    group: str
    pool: pools.Pool
    predicted_seconds: float


@dataclasses.dataclass(slots=True)
class _Usual:
    """Moving means over a pool's requests, in seconds."""

    request_seconds: float = FIRST_REQUEST_SECONDS
    prefill_seconds: float = 0.0


class Router:
    """State of routing at one entry.

    :ivar sent: granted requests by id.
    """

    __slots__ = (
        "admissions",
        "choose",
        "concurrency",
        "fleet",
        "index",
        "limits",
        "retries",
        "sends",
        "sent",
        "suspicion",
        "usual",
    )

    def __init__(self, choose: Chooser = pick.pick) -> None:
        self.choose = choose
        self.admissions: dict[pools.Pool, admission.Admission] = {}
        self.concurrency = concurrency.Concurrency()
        self.fleet = fleet.Fleet()
        self.index = prefix_index.PrefixIndex()
        self.limits = account_limits.AccountLimits()
        self.retries: dict[str, retry_budget.RetryBudget] = {}
        self.sends = sends.Sends()
        self.sent: dict[str, _Sent] = {}
        self.suspicion = suspicion.Suspicion()
        self.usual: dict[pools.Pool, _Usual] = {}


def arrive(
    router: Router,
    ask: grants.Ask,
    account: declaration.Account,
    tried: abc.Set[str],
    now: float,
    rng: random.Random,
) -> list[decision.Decision]:
    """Take in a request; the decision about it may come now or from a later event."""
    item = waiting.Waiting(ask, blocks.hash_blocks(ask.prompt), set(tried), account.weight, now)
    refused = _refuse_by_limits(router, item, account, now)
    if refused is not None:
        return [refused]
    pool = _pool(ask)
    state = router.admissions.setdefault(pool, admission.Admission())
    decisions: list[decision.Decision] = []
    decisions += state.offer(item, 0.0, now)
    for one in decisions:
        if isinstance(one, decision.Refused) and one.request_id == ask.request_id:
            _refund(router, item)
    return decisions + _grant_all(router, pool, now, rng)


def give_up(router: Router, ask: grants.Ask) -> None:
    """Forget a waiting request because its caller has gone away."""
    state = router.admissions.get(_pool(ask))
    if state is None:
        return
    for item in list(state.queue.items()):
        if item.ask.request_id == ask.request_id:
            state.queue.remove(item)
            _refund(router, item)


def release(
    router: Router, held: grants.Grant, ended: grants.Ended, now: float, rng: random.Random
) -> list[decision.Decision]:
    """Take in how a granted request went, and give its place to the next."""
    sent = router.sent.pop(held.ask.request_id, None)
    if sent is None:
        return []
    router.sends.end(sent.group)
    _learn(router, sent, held, ended, now)
    unused = held.ask.max_tokens - ended.tokens
    router.limits.refund(held.ask.account, 0.0, float(max(0, unused)))
    return _grant_all(router, sent.pool, now, rng)


def step(router: Router, now: float, rng: random.Random) -> list[decision.Decision]:
    """Refuse what is late and grant what has become possible; called several times a second."""
    router.sends.remember(now)
    decisions: list[decision.Decision] = []
    for pool, state in router.admissions.items():
        decisions += state.expire(now)
        decisions += _grant_all(router, pool, now, rng)
    return decisions


def update_groups(router: Router, found: abc.Iterable[group_facts.GroupFacts], now: float) -> None:
    """Replace the complete groups by those of new reports and tables."""
    router.fleet.update(found, router.sends)
    router.fleet.refresh(router.sends, now)
    known = router.fleet.groups
    router.index.keep(known)
    router.concurrency.keep(known)
    router.suspicion.keep(known)
    router.sends.forget(known)


def hear_peers(
    router: Router, told: abc.Mapping[str, facts.Facts], silent: int, now: float
) -> None:
    """Replace what peers told.

    :param silent: entries that are listed as live and are not heard.
    """
    usual = max((one.prefill_seconds for one in router.usual.values()), default=0.0)
    fresh = router.sends.hear({name: one.sends for name, one in told.items()}, now, usual)
    for group, count in fresh.items():
        router.fleet.add_prefill(group, now, count * usual)
    router.limits.hear([one.demand for one in told.values()], silent)
    factors: dict[str, float] = {}
    for one in told.values():
        for leader, factor in one.suspects.items():
            factors[leader] = max(factor, factors.get(leader, 1.0))
    router.suspicion.told = {
        group.facts.name: factors[group.facts.leader]
        for group in router.fleet.groups.values()
        if group.facts.leader in factors
    }


def own_facts(router: Router, now: float) -> facts.Facts:
    """Return what peers are told."""
    groups = router.fleet.groups
    service_of = {name: one.facts.pool.service for name, one in groups.items()}
    slow = router.suspicion.suspects(service_of, now)
    suspects = {groups[name].facts.leader: factor for name, factor in slow.items()}
    return facts.Facts(dict(router.sends.own), router.limits.tell(now), suspects)


def in_flight(router: Router, group: tracked.Tracked) -> float:
    """Return the requests that a group probably has now, of all entries."""
    return group.others + router.sends.own.get(group.facts.name, 0)


def _refuse_by_limits(
    router: Router, item: waiting.Waiting, account: declaration.Account, now: float
) -> decision.Refused | None:
    budget = router.retries.setdefault(item.ask.service, retry_budget.RetryBudget())
    if item.tried:
        if budget.spend():
            return None
        text = f'the retries of service "{item.ask.service}" are used up'
        return admission.refuse(item, codes.Code.RETRY_BUDGET, text, 0.0)
    budget.earn()
    wait = router.limits.charge(account, item.cost(), now)
    if wait > 0:
        text = f'account "{account.name}" is over its limit'
        return admission.refuse(item, codes.Code.ACCOUNT_LIMIT, text, wait)
    return None


def _refund(router: Router, item: waiting.Waiting) -> None:
    if not item.tried:
        router.limits.refund(item.ask.account, 1.0, item.cost())


def _grant_all(
    router: Router, pool: pools.Pool, now: float, rng: random.Random
) -> list[decision.Decision]:
    """Grant from the head of the queue while a group has a place."""
    state = router.admissions.get(pool)
    decisions: list[decision.Decision] = []
    while state is not None:
        item = state.queue.head()
        chosen = _choose(router, pool, item, now, rng) if item is not None else None
        if item is None or chosen is None:
            break
        least = pick.least_first_token(chosen, item.ask.prompt_tokens)
        if now + least > item.ask.deadline:
            state.queue.remove(item)
            _refund(router, item)
            text = f"the first token would take {least:.1f} s, past the deadline"
            decisions.append(admission.refuse(item, codes.Code.DEADLINE, text, least))
            continue
        state.grant(item, now)
        decisions.append(decision.Granted(grants.Grant(item.ask, chosen, now)))
        _note_sent(router, pool, item, chosen, now)
    return decisions


def _choose(
    router: Router, pool: pools.Pool, item: waiting.Waiting, now: float, rng: random.Random
) -> candidates.Candidate | None:
    cached = router.index.cached(item.blocks)
    groups = router.fleet.sample(pool, cached, rng)
    proved = [one for one in groups if now <= one.facts.proved_until]
    usable = [one for one in proved if one.facts.name not in item.tried] or proved
    reserved = router.admissions[pool].reserved_from(item.ask.priority)
    limit = router.concurrency.limit
    open_groups = [
        _candidate(router, one, item, cached.get(one.facts.name, 0.0), now)
        for one in usable
        if in_flight(router, one) < limit(one.facts.name, one.facts.load.capacity, reserved)
    ]
    return router.choose(open_groups, item.ask.prompt_tokens, rng)


def _candidate(
    router: Router, group: tracked.Tracked, item: waiting.Waiting, cached: float, now: float
) -> candidates.Candidate:
    known = group.facts
    load = known.load
    usual = router.usual.get(known.pool)
    request_seconds = usual.request_seconds if usual else FIRST_REQUEST_SECONDS
    return candidates.Candidate(
        known.name,
        known.address,
        known.epoch,
        load,
        in_flight(router, group) - load.running - load.waiting,
        int(cached * blocks.BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN),
        known.distance_seconds,
        not item.ask.adapter or item.ask.adapter in known.adapters,
        router.suspicion.factor(known.pool.service, known.name, now),
        request_seconds / load.capacity,
        max(0.0, group.prefill_until - now),
    )


def _note_sent(
    router: Router,
    pool: pools.Pool,
    item: waiting.Waiting,
    chosen: candidates.Candidate,
    now: float,
) -> None:
    left = max(0, item.ask.prompt_tokens - chosen.cached_tokens)
    seconds = left / chosen.load.prefill_tokens_per_second
    router.sends.begin(chosen.name, now, seconds)
    router.fleet.add_prefill(chosen.name, now, seconds)
    router.index.expect(chosen.name, item.blocks)
    predicted = pick.predict_first_token(chosen, item.ask.prompt_tokens)
    router.sent[item.ask.request_id] = _Sent(chosen.name, pool, predicted)
    usual = router.usual.setdefault(pool, _Usual())
    usual.prefill_seconds += LEARNING_RATE * (seconds - usual.prefill_seconds)


def _learn(
    router: Router, sent: _Sent, held: grants.Grant, ended: grants.Ended, now: float
) -> None:
    first = None if ended.failed else ended.first_token_seconds
    if ended.failed:
        router.suspicion.fail(sent.group, now)
    if ended.failed or first is not None:
        router.concurrency.observe(sent.group, sent.predicted_seconds, first, now)
    if first is None or ended.tokens < 2:
        return
    seconds = now - held.sent_at
    between = (seconds - first) / (ended.tokens - 1)
    router.suspicion.observe(held.ask.service, sent.group, between, now)
    usual = router.usual.setdefault(sent.pool, _Usual())
    usual.request_seconds += LEARNING_RATE * (seconds - usual.request_seconds)


def _pool(ask: grants.Ask) -> pools.Pool:
    return pools.Pool(ask.service, ask.model, ask.version)
