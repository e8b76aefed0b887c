"""Priority classes, and weighted fair queueing between client accounts inside each."""

from __future__ import annotations

import collections
from collections import abc

from galenavane.route import queued_request


class _Lane:
    """Requests of one account in one class.

    :ivar finish_tag: virtual time at which all that it has queued so far is served.
    """

    __slots__ = ("finish_tag", "items")

    def __init__(self) -> None:
        self.finish_tag = 0.0
        self.items: collections.deque[queued_request.QueuedRequest] = collections.deque()


class _Class:
    """One priority class.

    :ivar virtual: virtual time, the start tag of the last request served.
    """

    __slots__ = ("lanes", "size", "virtual")

    def __init__(self) -> None:
        self.virtual = 0.0
        self.size = 0
        self.lanes: dict[str, _Lane] = {}


class FairQueue:
    """Waiting requests in the order in which they get groups."""

    __slots__ = ("_classes", "size")

    def __init__(self) -> None:
        self._classes: dict[int, _Class] = {}
        self.size = 0

    def push(self, item: queued_request.QueuedRequest) -> None:
        """Queue a request behind its account's others."""
        one = self._classes.setdefault(item.request.priority, _Class())
        lane = one.lanes.setdefault(item.request.account, _Lane())
        item.start_tag = max(one.virtual, lane.finish_tag)
        lane.finish_tag = item.start_tag + item.cost() / item.weight
        lane.items.append(item)
        one.size += 1
        self.size += 1

    def peek(self) -> queued_request.QueuedRequest | None:
        """Return the next request without removing it."""
        for priority in sorted(self._classes):
            one = self._classes[priority]
            if one.size:
                heads = (lane.items[0] for lane in one.lanes.values() if lane.items)
                return min(heads, key=_order)
        return None

    def pop(self, item: queued_request.QueuedRequest) -> None:
        """Remove a request because it is served."""
        one = self._classes[item.request.priority]
        one.virtual = max(one.virtual, item.start_tag)
        self._take(one, item)

    def remove(self, item: queued_request.QueuedRequest) -> None:
        """Remove a request that is not served; its account gets the turn back."""
        one = self._classes[item.request.priority]
        lane = one.lanes[item.request.account]
        refund = item.cost() / item.weight
        for later in reversed(lane.items):
            if later is item:
                break
            later.start_tag -= refund
        lane.finish_tag -= refund
        self._take(one, item)

    def count_ahead(self, priority: int, account: str, weight: float) -> float:
        """Return how many requests would be served before a new one of an account."""
        count = 0.0
        for other, one in self._classes.items():
            if other < priority:
                count += one.size
            elif other == priority and one.size:
                count += _ahead_in_class(one, account, weight)
        return count

    def count_waiting(self, account: str) -> int:
        """Return how many requests of an account wait, over all classes."""
        lanes = (one.lanes.get(account) for one in self._classes.values())
        return sum(len(lane.items) for lane in lanes if lane is not None)

    def lowest_priority_tail(self) -> queued_request.QueuedRequest | None:
        """Return the newest request of the longest lane in the lowest class that waits."""
        for priority in sorted(self._classes, reverse=True):
            one = self._classes[priority]
            if one.size:
                return max(one.lanes.values(), key=lambda lane: len(lane.items)).items[-1]
        return None

    def items(self) -> abc.Iterator[queued_request.QueuedRequest]:
        """Iterate over all that wait."""
        for one in self._classes.values():
            for lane in one.lanes.values():
                yield from lane.items

    def _take(self, one: _Class, item: queued_request.QueuedRequest) -> None:
        one.lanes[item.request.account].items.remove(item)
        one.size -= 1
        self.size -= 1
        if one.size == 0:
            del self._classes[item.request.priority]


def _order(item: queued_request.QueuedRequest) -> tuple[float, float, str]:
    return (item.start_tag, item.arrived_at, item.request.request_id)


def _ahead_in_class(one: _Class, account: str, weight: float) -> float:
    """Count by turns: while an account gets one turn, each other gets its weight's share."""
    own = one.lanes.get(account)
    turns = len(own.items) + 1 if own is not None else 1
    count = float(turns - 1)
    for name, lane in one.lanes.items():
        if name != account and lane.items:
            count += min(len(lane.items), turns * lane.items[0].weight / weight)
    return count
