"""The complete groups that this entry knows, and what is derived from their reports."""

from __future__ import annotations

import math
import random
from collections import abc

from galenavane.route import group_report, in_flight, tracked_group
from galenavane.route import pool as pools

MAX_SCANNED = 96
SAMPLED_NEAR = 48
SAMPLED_FAR = 16
NEAR_SECONDS = 0.001
DEVIATION_MEMORY_SECONDS = 6.0


class _Groups:
    """Groups of one pool: in the nearest data centre, and farther away."""

    __slots__ = ("far", "near")

    def __init__(self) -> None:
        self.near: list[tracked_group.TrackedGroup] = []
        self.far: list[tracked_group.TrackedGroup] = []


class KnownGroups:
    """Complete groups by name and by pool.

    :ivar by_name: every known group by name.
    """

    __slots__ = ("_pools", "_refreshed_at", "by_name")

    def __init__(self) -> None:
        self.by_name: dict[str, tracked_group.TrackedGroup] = {}
        self._pools: dict[pools.Pool, _Groups] = {}
        self._refreshed_at = float("-inf")

    def update(
        self, found: abc.Iterable[group_report.GroupReport], sent: in_flight.InFlightCounts
    ) -> None:
        """Replace all groups by those of new reports."""
        before = self.by_name
        self.by_name = {one.name: _track(one, before.get(one.name), sent) for one in found}
        self._pools = {}
        for one in self.by_name.values():
            groups = self._pools.setdefault(one.report.pool, _Groups())
            is_near = one.report.distance_seconds <= NEAR_SECONDS
            (groups.near if is_near else groups.far).append(one)

    def refresh_estimates(self, sent: in_flight.InFlightCounts, now: float) -> None:
        """Estimate again each group's requests of others, from what peers and reports now say.

        The mean over a pool is believed at once. What one group deviates from it is old, and every
        entry learns it at the same time and would correct it in full; so each corrects its part,
        and slowly.
        """
        gain = 1.0 - math.exp((self._refreshed_at - now) / DEVIATION_MEMORY_SECONDS)
        self._refreshed_at = now
        for pool, groups in self._pools.items():
            _refresh_pool(pool.key(), groups.near + groups.far, sent, gain)

    def record_send(self, group: str, now: float, prefill_seconds: float) -> None:
        """Note that this entry sends a request to a group."""
        one = self.by_name.get(group)
        if one is not None:
            one.last_sent_at = now
        self.add_prefill(group, now, prefill_seconds)

    def add_prefill(self, group: str, now: float, seconds: float) -> None:
        """Note prompt work that was sent to a group."""
        one = self.by_name.get(group)
        if one is not None:
            one.prefill_until = max(one.prefill_until, now) + seconds

    def capacity(self, pool: pools.Pool) -> int:
        """Return how many requests fit into the batches of a pool."""
        groups = self._pools.get(pool)
        return sum(one.report.load.capacity for one in groups.near + groups.far) if groups else 0

    def others_in_flight(self, pool: pools.Pool) -> float:
        """Return the requests in a pool that other entries have in flight."""
        groups = self._pools.get(pool)
        return sum(one.others_in_flight for one in groups.near + groups.far) if groups else 0.0

    def sample(
        self, pool: pools.Pool, wanted: abc.Iterable[str], rng: random.Random
    ) -> list[tracked_group.TrackedGroup]:
        """Return all groups of a small pool; of a large one those wanted and some by chance."""
        groups = self._pools.get(pool)
        if groups is None:
            return []
        if len(groups.near) + len(groups.far) <= MAX_SCANNED:
            return groups.near + groups.far
        found = _some(groups.near, SAMPLED_NEAR, rng) + _some(groups.far, SAMPLED_FAR, rng)
        names = {one.report.name for one in found}
        for name in wanted:
            one = self.by_name.get(name)
            if one is not None and one.report.pool == pool and name not in names:
                found.append(one)
        return found


def _some(
    groups: list[tracked_group.TrackedGroup], count: int, rng: random.Random
) -> list[tracked_group.TrackedGroup]:
    return rng.sample(groups, count) if len(groups) > count else list(groups)


def _track(
    facts: group_report.GroupReport,
    before: tracked_group.TrackedGroup | None,
    sent: in_flight.InFlightCounts,
) -> tracked_group.TrackedGroup:
    is_same = before is not None and before.report.epoch == facts.epoch
    if before is not None and is_same and before.report.as_of == facts.as_of:
        before.report = facts
        return before
    deviation, last_sent_at = 0.0, float("-inf")
    if before is not None and is_same:
        deviation, last_sent_at = before.deviation, before.last_sent_at
    load = facts.load
    others = max(0, load.running + load.waiting - sent.own_at(facts.name, facts.as_of))
    until = facts.as_of + load.waiting_prefill_tokens / load.prefill_tokens_per_second
    for one in sent.prefills_after(facts.name, facts.as_of):
        until = max(until, one.at) + one.seconds
    return tracked_group.TrackedGroup(facts, others, deviation, 0.0, until, last_sent_at)


def _refresh_pool(
    key: str, groups: list[tracked_group.TrackedGroup], sent: in_flight.InFlightCounts, gain: float
) -> None:
    capacity = sum(one.report.load.capacity for one in groups)
    reported = sum(one.reported_others for one in groups)
    as_of = sum(one.report.as_of for one in groups) / len(groups)
    told = sent.peers_by_pool.get(key, 0)
    since = told - sent.peers_at(key, as_of)
    # A peer that is heard for the first time is in the reports already.
    total = min(reported + since, max(reported, told))
    for one in groups:
        share = one.report.load.capacity / capacity
        deviation = (one.reported_others - reported * share) / sent.entries
        one.deviation += gain * (deviation - one.deviation)
        one.others_in_flight = max(0.0, total * share + one.deviation)
