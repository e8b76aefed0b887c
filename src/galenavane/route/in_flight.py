"""Counts the requests in flight of this entry and its peers, with a short history."""

from __future__ import annotations

import collections
import dataclasses
from collections import abc

HISTORY_SECONDS = 4.0
SNAPSHOT_INTERVAL_SECONDS = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """Requests in flight at one time: own by group name, and those of peers by pool key.

    :ivar at: monotonic time.
    """

    at: float
    own_by_group: dict[str, int]
    peers_by_pool: dict[str, int]


@dataclasses.dataclass(slots=True, frozen=True)
class Prefill:
    """The prefill work of one request that was sent to a group.

    :ivar at: monotonic time of the send.
    :ivar seconds: predicted prefill time.
    """

    at: float
    seconds: float


class InFlightCounts:
    """Current and recent counts of requests in flight.

    :ivar own_by_group: requests in flight of this entry by group name.
    :ivar own_by_pool: requests in flight of this entry by pool key.
    :ivar peers_by_pool: requests in flight of all reachable peers by pool key.
    :ivar entries: number of reachable entries, this one included.
    """

    __slots__ = ("_history", "_prefills", "entries", "own_by_group", "own_by_pool", "peers_by_pool")

    def __init__(self) -> None:
        self.own_by_group: dict[str, int] = {}
        self.own_by_pool: dict[str, int] = {}
        self.peers_by_pool: dict[str, int] = {}
        self.entries = 1
        self._history: collections.deque[Snapshot] = collections.deque()
        self._prefills: dict[str, collections.deque[Prefill]] = {}

    def own_at(self, group: str, at: float) -> int:
        """Return this entry's requests in flight in a group at an earlier time."""
        snapshot = self._find_snapshot(at)
        return snapshot.own_by_group.get(group, 0) if snapshot else 0

    def peers_at(self, pool_key: str, at: float) -> int:
        """Return the peers' requests in flight in a pool as known at an earlier time."""
        snapshot = self._find_snapshot(at)
        return snapshot.peers_by_pool.get(pool_key, 0) if snapshot else 0

    def _find_snapshot(self, at: float) -> Snapshot | None:
        return next((snapshot for snapshot in reversed(self._history) if snapshot.at <= at), None)

    def record_send(self, group: str, pool_key: str, now: float, prefill_seconds: float) -> None:
        """Record that this entry sends a request."""
        self.own_by_group[group] = self.own_by_group.get(group, 0) + 1
        self.own_by_pool[pool_key] = self.own_by_pool.get(pool_key, 0) + 1
        prefills = self._prefills.setdefault(group, collections.deque())
        prefills.append(Prefill(now, prefill_seconds))
        while prefills[0].at < now - HISTORY_SECONDS:
            prefills.popleft()

    def record_end(self, group: str, pool_key: str) -> None:
        """Record that a request of this entry has ended."""
        _decrement(self.own_by_group, group)
        _decrement(self.own_by_pool, pool_key)

    def update_peers(self, peer_counts: abc.Collection[abc.Mapping[str, int]]) -> None:
        """Replace the peers' requests in flight.

        :param peer_counts: requests in flight by pool key, for each reachable peer.
        """
        self.entries = 1 + len(peer_counts)
        totals: dict[str, int] = {}
        for counts_by_pool in peer_counts:
            for pool_key, count in counts_by_pool.items():
                totals[pool_key] = totals.get(pool_key, 0) + count
        self.peers_by_pool = totals

    def save_snapshot(self, now: float) -> None:
        """Save the current counts, and drop snapshots that are older than any report can be."""
        if self._history and now - self._history[-1].at < SNAPSHOT_INTERVAL_SECONDS:
            return
        self._history.append(Snapshot(now, dict(self.own_by_group), dict(self.peers_by_pool)))
        while self._history[0].at < now - HISTORY_SECONDS:
            self._history.popleft()

    def prefills_after(self, group: str, at: float) -> list[Prefill]:
        """Return the prefill work that was sent to a group after a time."""
        return [prefill for prefill in self._prefills.get(group, ()) if prefill.at > at]

    def retain(self, groups: abc.Container[str]) -> None:
        """Drop the prefill work of all groups except those given."""
        for name in [name for name in self._prefills if name not in groups]:
            del self._prefills[name]


def _decrement(counts: dict[str, int], key: str) -> None:
    remaining = counts.get(key, 0) - 1
    if remaining > 0:
        counts[key] = remaining
    else:
        counts.pop(key, None)
