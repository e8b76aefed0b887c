"""Chooses a group for one queued request."""

from __future__ import annotations

import random

from galenavane.route import blocks, queued_request, tracked_group
from galenavane.route import candidate as candidates
from galenavane.route import pool as pools
from galenavane.route import state as states

CHARACTERS_PER_TOKEN = 4
INITIAL_REQUEST_SECONDS = 1.0
"""Assumed duration of a request until a pool's first request has ended."""


def estimate_in_flight(router: states.State, group: tracked_group.TrackedGroup) -> float:
    """Return the estimated number of requests that a group has now from all entries."""
    return group.others_in_flight + router.in_flight.own_by_group.get(group.report.name, 0)


def choose(
    router: states.State,
    pool: pools.Pool,
    item: queued_request.QueuedRequest,
    now: float,
    rng: random.Random,
) -> candidates.Candidate | None:
    """Return the group to send a request to, or ``None`` when no complete group has a free slot.

    Groups that failed the request are used only when no other group is complete.
    """
    cached = router.prefix_index.cached_blocks(item.blocks)
    groups = router.groups.sample(pool, cached, rng)
    complete = [group for group in groups if now <= group.report.complete_until]
    untried = [group for group in complete if group.report.name not in item.tried] or complete
    limit = router.concurrency.limit
    available = [
        _make_candidate(router, group, item, cached.get(group.report.name, 0.0), now)
        for group in untried
        if estimate_in_flight(router, group) < limit(group.report.name, group.report.load.capacity)
    ]
    return router.pick(available, item.request.prompt_tokens, rng)


def _make_candidate(
    router: states.State,
    group: tracked_group.TrackedGroup,
    item: queued_request.QueuedRequest,
    cached: float,
    now: float,
) -> candidates.Candidate:
    report = group.report
    load = report.load
    request_seconds = router.mean_request_seconds.get(report.pool, INITIAL_REQUEST_SECONDS)
    return candidates.Candidate(
        report.name,
        report.address,
        report.epoch,
        load,
        estimate_in_flight(router, group) - load.running - load.waiting,
        int(cached * blocks.BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN),
        report.distance_seconds,
        not item.request.adapter or item.request.adapter in report.adapters,
        router.slowdown.factor(report.pool.service, report.name, now),
        request_seconds / load.capacity,
        max(0.0, group.prefill_until - now),
        group.last_sent_at,
    )
