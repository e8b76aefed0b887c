"""Tracks the complete groups that this entry knows, and estimates their requests in flight."""

from __future__ import annotations

import math
import random
from collections import abc

from galenavane.route import group_report, in_flight, tracked_group
from galenavane.route import pool as pools

MAX_FULL_SCAN_GROUPS = 96
NEAR_SAMPLE_SIZE = 48
FAR_SAMPLE_SIZE = 16
NEAR_ROUND_TRIP_SECONDS = 0.001
DEVIATION_TIME_CONSTANT_SECONDS = 6.0


class _PoolGroups:
    """Groups of one pool, in the nearest data centre and in farther ones."""

    __slots__ = ("far", "near")

    def __init__(self) -> None:
        self.near: list[tracked_group.TrackedGroup] = []
        self.far: list[tracked_group.TrackedGroup] = []


class KnownGroups:
    """Complete groups by name and by pool.

    :ivar by_name: all known groups by name.
    """

    __slots__ = ("_pools", "_refreshed_at", "by_name")

    def __init__(self) -> None:
        self.by_name: dict[str, tracked_group.TrackedGroup] = {}
        self._pools: dict[pools.Pool, _PoolGroups] = {}
        self._refreshed_at = float("-inf")

    def update(
        self, reports: abc.Iterable[group_report.GroupReport], counts: in_flight.InFlightCounts
    ) -> None:
        """Replace all groups by those of new reports."""
        previous = self.by_name
        self.by_name = {
            report.name: _update_tracked(report, previous.get(report.name), counts)
            for report in reports
        }
        self._pools = {}
        for group in self.by_name.values():
            groups = self._pools.setdefault(group.report.pool, _PoolGroups())
            is_near = group.report.distance_seconds <= NEAR_ROUND_TRIP_SECONDS
            (groups.near if is_near else groups.far).append(group)

    def refresh_estimates(self, counts: in_flight.InFlightCounts, now: float) -> None:
        """Estimate again the requests of other entries in each group, from peers and reports.

        A change of the pool's total is applied at once. The deviation of one group from its share
        of the total is out of date when it arrives, and all entries learn it at the same time. If
        each entry corrected it in full, they would overcorrect together, so each one corrects
        only its own part, and slowly.
        """
        gain = 1.0 - math.exp((self._refreshed_at - now) / DEVIATION_TIME_CONSTANT_SECONDS)
        self._refreshed_at = now
        for pool, groups in self._pools.items():
            _refresh_pool(pool.key(), groups.near + groups.far, counts, gain)

    def record_send(self, group: str, now: float, prefill_seconds: float) -> None:
        """Record that this entry sends a request to a group."""
        tracked = self.by_name.get(group)
        if tracked is not None:
            tracked.last_sent_at = now
        self.add_prefill(group, now, prefill_seconds)

    def add_prefill(self, group: str, now: float, seconds: float) -> None:
        """Record prefill work that was sent to a group."""
        tracked = self.by_name.get(group)
        if tracked is not None:
            tracked.prefill_until = max(tracked.prefill_until, now) + seconds

    def capacity(self, pool: pools.Pool) -> int:
        """Return the number of batch slots of a pool."""
        groups = self._pools.get(pool)
        return (
            sum(group.report.load.capacity for group in groups.near + groups.far) if groups else 0
        )

    def others_in_flight(self, pool: pools.Pool) -> float:
        """Return the estimated requests in flight in a pool that other entries sent."""
        groups = self._pools.get(pool)
        return sum(group.others_in_flight for group in groups.near + groups.far) if groups else 0.0

    def sample(
        self, pool: pools.Pool, preferred: abc.Iterable[str], rng: random.Random
    ) -> list[tracked_group.TrackedGroup]:
        """Return all groups of a small pool, else a random sample and the preferred ones.

        :param preferred: names of groups to include, of any pool.
        """
        groups = self._pools.get(pool)
        if groups is None:
            return []
        if len(groups.near) + len(groups.far) <= MAX_FULL_SCAN_GROUPS:
            return groups.near + groups.far
        sampled = _sample_at_most(groups.near, NEAR_SAMPLE_SIZE, rng) + _sample_at_most(
            groups.far, FAR_SAMPLE_SIZE, rng
        )
        names = {group.report.name for group in sampled}
        for name in preferred:
            group = self.by_name.get(name)
            if group is not None and group.report.pool == pool and name not in names:
                sampled.append(group)
        return sampled


def _sample_at_most(
    groups: list[tracked_group.TrackedGroup], count: int, rng: random.Random
) -> list[tracked_group.TrackedGroup]:
    return rng.sample(groups, count) if len(groups) > count else list(groups)


def _update_tracked(
    report: group_report.GroupReport,
    previous: tracked_group.TrackedGroup | None,
    counts: in_flight.InFlightCounts,
) -> tracked_group.TrackedGroup:
    is_same_epoch = previous is not None and previous.report.epoch == report.epoch
    if previous is not None and is_same_epoch and previous.report.as_of == report.as_of:
        previous.report = report
        return previous
    deviation, last_sent_at = 0.0, float("-inf")
    if previous is not None and is_same_epoch:
        deviation, last_sent_at = previous.deviation, previous.last_sent_at
    load = report.load
    reported_others = max(0, load.running + load.waiting - counts.own_at(report.name, report.as_of))
    prefill_until = report.as_of + load.waiting_prefill_tokens / load.prefill_tokens_per_second
    for prefill in counts.prefills_after(report.name, report.as_of):
        prefill_until = max(prefill_until, prefill.at) + prefill.seconds
    return tracked_group.TrackedGroup(
        report, reported_others, deviation, 0.0, prefill_until, last_sent_at
    )


def _refresh_pool(
    pool_key: str,
    groups: list[tracked_group.TrackedGroup],
    counts: in_flight.InFlightCounts,
    gain: float,
) -> None:
    capacity = sum(group.report.load.capacity for group in groups)
    reported_others = sum(group.reported_others for group in groups)
    as_of = sum(group.report.as_of for group in groups) / len(groups)
    peer_count = counts.peers_by_pool.get(pool_key, 0)
    peer_change = peer_count - counts.peers_at(pool_key, as_of)
    # The requests of a newly reachable peer are in the reports already.
    total_others = min(reported_others + peer_change, max(reported_others, peer_count))
    for group in groups:
        share = group.report.load.capacity / capacity
        deviation = (group.reported_others - reported_others * share) / counts.entries
        group.deviation += gain * (deviation - group.deviation)
        group.others_in_flight = max(0.0, total_others * share + group.deviation)
