"""Requests in flight, by group, as this entry and its peers know them."""

from __future__ import annotations

import collections
import dataclasses
from collections import abc

HISTORY_SECONDS = 4.0
SNAPSHOT_SECONDS = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """Known requests in flight at one time, by group name."""

    at: float
    known: dict[str, int]


@dataclasses.dataclass(slots=True, frozen=True)
class Prefill:
    """Prompt work that was sent to a group.

    :ivar seconds: time that the group needs for it.
    """

    at: float
    seconds: float


class Sends:
    """Counts of requests in flight, and their last seconds.

    :ivar own: requests of this entry in flight by group name.
    :ivar peers: requests of each heard peer by group name.
    """

    __slots__ = ("_history", "_peer_total", "_prefills", "own", "peers")

    def __init__(self) -> None:
        self.own: dict[str, int] = {}
        self.peers: dict[str, abc.Mapping[str, int]] = {}
        self._peer_total: dict[str, int] = {}
        self._history: collections.deque[Snapshot] = collections.deque()
        self._prefills: dict[str, collections.deque[Prefill]] = {}

    def of_peers(self, group: str) -> int:
        """Return the requests in flight that heard peers sent."""
        return self._peer_total.get(group, 0)

    def known_at(self, group: str, at: float) -> int:
        """Return the requests in flight that were known at an earlier time."""
        for snapshot in reversed(self._history):
            if snapshot.at <= at:
                return snapshot.known.get(group, 0)
        return 0

    def begin(self, group: str, now: float, prefill_seconds: float) -> None:
        """Note that this entry sends a request."""
        self.own[group] = self.own.get(group, 0) + 1
        self._note(group, Prefill(now, prefill_seconds))

    def end(self, group: str) -> None:
        """Note that a request of this entry has ended."""
        left = self.own.get(group, 0) - 1
        if left > 0:
            self.own[group] = left
        else:
            self.own.pop(group, None)

    def hear(
        self, told: abc.Mapping[str, abc.Mapping[str, int]], now: float, prefill_seconds: float
    ) -> dict[str, int]:
        """Replace what peers told; return the new sends by group name."""
        before = self._peer_total
        self.peers = dict(told)
        total: dict[str, int] = {}
        for sends in told.values():
            for group, count in sends.items():
                total[group] = total.get(group, 0) + count
        self._peer_total = total
        fresh = {
            group: count - before.get(group, 0)
            for group, count in total.items()
            if count > before.get(group, 0)
        }
        for group, count in fresh.items():
            self._note(group, Prefill(now, count * prefill_seconds))
        return fresh

    def remember(self, now: float) -> None:
        """Keep the present counts, and forget those that no report can be as old as."""
        if self._history and now - self._history[-1].at < SNAPSHOT_SECONDS:
            return
        known = dict(self._peer_total)
        for group, count in self.own.items():
            known[group] = known.get(group, 0) + count
        self._history.append(Snapshot(now, known))
        while self._history[0].at < now - HISTORY_SECONDS:
            self._history.popleft()

    def prefills_after(self, group: str, at: float) -> list[Prefill]:
        """Return the prompt work that was sent to a group after a time."""
        return [one for one in self._prefills.get(group, ()) if one.at > at]

    def forget(self, groups: abc.Container[str]) -> None:
        """Drop prompt work of groups that are not among those given."""
        for name in [name for name in self._prefills if name not in groups]:
            del self._prefills[name]

    def _note(self, group: str, prefill: Prefill) -> None:
        kept = self._prefills.setdefault(group, collections.deque())
        kept.append(prefill)
        while kept[0].at < prefill.at - HISTORY_SECONDS:
            kept.popleft()
