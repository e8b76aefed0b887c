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
    return group.others_in_flight + router.in_flight.own_by_group.get(group.report.name, 0)


def choose(
    router: states.State,
    pool: pools.Pool,
    item: queued_request.QueuedRequest,
    now: float,
    rng: random.Random,
) -> candidates.Candidate | None:
    """Return the group that a request is sent to, among those proved complete with a place."""
    cached = router.prefix_index.cached_blocks(item.blocks)
    groups = router.groups.sample(pool, cached, rng)
    proved = [one for one in groups if now <= one.report.complete_until]
    usable = [one for one in proved if one.report.name not in item.tried] or proved
    limit = router.concurrency.limit
    open_groups = [
        _candidate(router, one, item, cached.get(one.report.name, 0.0), now)
        for one in usable
        if estimate_in_flight(router, one) < limit(one.report.name, one.report.load.capacity)
    ]
    return router.pick(open_groups, item.request.prompt_tokens, rng)


def _candidate(
    router: states.State,
    group: tracked_group.TrackedGroup,
    item: queued_request.QueuedRequest,
    cached: float,
    now: float,
) -> candidates.Candidate:
    known = group.report
    load = known.load
    request_seconds = router.mean_request_seconds.get(known.pool, FIRST_REQUEST_SECONDS)
    return candidates.Candidate(
        known.name,
        known.address,
        known.epoch,
        load,
        estimate_in_flight(router, group) - load.running - load.waiting,
        int(cached * blocks.BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN),
        known.distance_seconds,
        not item.request.adapter or item.request.adapter in known.adapters,
        router.slowdown.factor(known.pool.service, known.name, now),
        request_seconds / load.capacity,
        max(0.0, group.prefill_until - now),
        group.last_sent_at,
    )
