"""Chooses a group for one waiting request."""

from __future__ import annotations

import random

from galenavane.route import blocks, queued_request, tracked_group
from galenavane.route import candidate as candidates
from galenavane.route import pool as pools
from galenavane.route import state as states

CHARACTERS_PER_TOKEN = 4
FIRST_REQUEST_SECONDS = 1.0


def estimate_in_flight(router: states.State, group: tracked_group.TrackedGroup) -> float:
    """Return the requests that a group probably has now, of all entries."""
    return group.others + router.sends.own.get(group.facts.name, 0)


def choose(
    router: states.State,
    pool: pools.Pool,
    item: queued_request.QueuedRequest,
    now: float,
    rng: random.Random,
) -> candidates.Candidate | None:
    """Return the group that a request is sent to, among those proved complete with a place."""
    cached = router.index.cached(item.blocks)
    groups = router.fleet.sample(pool, cached, rng)
    proved = [one for one in groups if now <= one.facts.proved_until]
    usable = [one for one in proved if one.facts.name not in item.tried] or proved
    limit = router.concurrency.limit
    open_groups = [
        _candidate(router, one, item, cached.get(one.facts.name, 0.0), now)
        for one in usable
        if estimate_in_flight(router, one) < limit(one.facts.name, one.facts.load.capacity)
    ]
    return router.choose(open_groups, item.request.prompt_tokens, rng)


def _candidate(
    router: states.State,
    group: tracked_group.TrackedGroup,
    item: queued_request.QueuedRequest,
    cached: float,
    now: float,
) -> candidates.Candidate:
    known = group.facts
    load = known.load
    request_seconds = router.usual_seconds.get(known.pool, FIRST_REQUEST_SECONDS)
    return candidates.Candidate(
        known.name,
        known.address,
        known.epoch,
        load,
        estimate_in_flight(router, group) - load.running - load.waiting,
        int(cached * blocks.BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN),
        known.distance_seconds,
        not item.request.adapter or item.request.adapter in known.adapters,
        router.suspicion.factor(known.pool.service, known.name, now),
        request_seconds / load.capacity,
        max(0.0, group.prefill_until - now),
        group.last_sent_at,
    )
