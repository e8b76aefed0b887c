"""The complete groups that this entry knows, and what is derived from their reports."""

from __future__ import annotations

import math
import random
from collections import abc

from galenavane.route import group_facts, sends, tracked
from galenavane.route import pool as pools

MAX_SCANNED = 96
SAMPLED_NEAR = 48
SAMPLED_FAR = 16
NEAR_SECONDS = 0.001
DEVIATION_MEMORY_SECONDS = 3.0


class _Groups:
    """Groups of one pool: in the nearest data centre, and farther away."""

    __slots__ = ("far", "near")

    def __init__(self) -> None:
        self.near: list[tracked.Tracked] = []
        self.far: list[tracked.Tracked] = []


class Fleet:
    """Complete groups by name and by pool.

    :ivar groups: every known group by name.
    """

    __slots__ = ("_pools", "_refreshed_at", "groups")

    def __init__(self) -> None:
        self.groups: dict[str, tracked.Tracked] = {}
        self._pools: dict[pools.Pool, _Groups] = {}
        self._refreshed_at = float("-inf")

    def update(self, found: abc.Iterable[group_facts.GroupFacts], sent: sends.Sends) -> None:
        """Replace all groups by those of new reports."""
        before = self.groups
        self.groups = {one.name: _track(one, before.get(one.name), sent) for one in found}
        self._pools = {}
        for one in self.groups.values():
            groups = self._pools.setdefault(one.facts.pool, _Groups())
            is_near = one.facts.distance_seconds <= NEAR_SECONDS
            (groups.near if is_near else groups.far).append(one)

    def refresh(self, sent: sends.Sends, now: float) -> None:
        """Estimate again each group's requests of others, from what peers and reports now say.

        The mean over a pool is believed at once. What one group deviates from it is old, and every
        entry learns it at the same time and would correct it in full; so each corrects its part,
        and slowly.
        """
        gain = 1.0 - math.exp((self._refreshed_at - now) / DEVIATION_MEMORY_SECONDS)
        self._refreshed_at = now
        entries = len(sent.peers) + 1
        for groups in self._pools.values():
            pool = groups.near + groups.far
            told = [one.unknown_requests + sent.of_peers(one.facts.name) for one in pool]
            usual = sum(told) / sum(one.facts.load.capacity for one in pool)
            for one, requests in zip(pool, told, strict=True):
                expected = usual * one.facts.load.capacity
                one.deviation += gain * ((requests - expected) / entries - one.deviation)
                one.others = max(0.0, expected + one.deviation)

    def add_prefill(self, group: str, now: float, seconds: float) -> None:
        """Note prompt work that was sent to a group."""
        one = self.groups.get(group)
        if one is not None:
            one.prefill_until = max(one.prefill_until, now) + seconds

    def count(self, pool: pools.Pool) -> int:
        """Return how many groups of a pool are known."""
        groups = self._pools.get(pool)
        return len(groups.near) + len(groups.far) if groups else 0

    def sample(
        self, pool: pools.Pool, wanted: abc.Iterable[str], rng: random.Random
    ) -> list[tracked.Tracked]:
        """Return all groups of a small pool; of a large one those wanted and some by chance."""
        groups = self._pools.get(pool)
        if groups is None:
            return []
        if len(groups.near) + len(groups.far) <= MAX_SCANNED:
            return groups.near + groups.far
        found = _some(groups.near, SAMPLED_NEAR, rng) + _some(groups.far, SAMPLED_FAR, rng)
        names = {one.facts.name for one in found}
        for name in wanted:
            one = self.groups.get(name)
            if one is not None and one.facts.pool == pool and name not in names:
                found.append(one)
        return found


def _some(groups: list[tracked.Tracked], count: int, rng: random.Random) -> list[tracked.Tracked]:
    return rng.sample(groups, count) if len(groups) > count else list(groups)


def _track(
    facts: group_facts.GroupFacts,
    before: tracked.Tracked | None,
    sent: sends.Sends,
) -> tracked.Tracked:
    is_same = before is not None and before.facts.epoch == facts.epoch
    if before is not None and is_same and before.facts.as_of == facts.as_of:
        before.facts = facts
        return before
    deviation = before.deviation if before is not None and is_same else 0.0
    load = facts.load
    unknown = load.running + load.waiting - sent.known_at(facts.name, facts.as_of)
    until = facts.as_of + load.waiting_prefill_tokens / load.prefill_tokens_per_second
    for one in sent.prefills_after(facts.name, facts.as_of):
        until = max(until, one.at) + one.seconds
    return tracked.Tracked(facts, unknown, deviation, 0.0, until)
