"""Queues requests by priority class, with weighted fair queueing of accounts in each class."""

from __future__ import annotations

import collections
from collections import abc

from galenavane.route import queued_request


class _AccountQueue:
    """Requests of one account in one priority class.

    :ivar finish_tag: virtual time at which all its queued requests will have been served.
    """

    __slots__ = ("finish_tag", "items")

    def __init__(self) -> None:
        self.finish_tag = 0.0
        self.items: collections.deque[queued_request.QueuedRequest] = collections.deque()


class _PriorityClass:
    """Queued requests of one priority class.

    :ivar virtual_time: start tag of the last request served.
    :ivar size: number of requests.
    """

    __slots__ = ("account_queues", "size", "virtual_time")

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.size = 0
        self.account_queues: dict[str, _AccountQueue] = {}


class FairQueue:
    """Queued requests in the order in which they are served.

    :ivar size: number of requests.
    """

    __slots__ = ("_classes", "size")

    def __init__(self) -> None:
        self._classes: dict[int, _PriorityClass] = {}
        self.size = 0

    def push(self, item: queued_request.QueuedRequest) -> None:
        """Queue a request behind the others of its account."""
        priority_class = self._classes.setdefault(item.request.priority, _PriorityClass())
        queue = priority_class.account_queues.setdefault(item.request.account, _AccountQueue())
        item.start_tag = max(priority_class.virtual_time, queue.finish_tag)
        queue.finish_tag = item.start_tag + item.cost() / item.weight
        queue.items.append(item)
        priority_class.size += 1
        self.size += 1

    def peek(self) -> queued_request.QueuedRequest | None:
        """Return the next request to serve without removing it."""
        for priority in sorted(self._classes):
            priority_class = self._classes[priority]
            if priority_class.size:
                heads = (
                    queue.items[0]
                    for queue in priority_class.account_queues.values()
                    if queue.items
                )
                return min(heads, key=_sort_key)
        return None

    def pop(self, item: queued_request.QueuedRequest) -> None:
        """Remove a request that is served."""
        priority_class = self._classes[item.request.priority]
        priority_class.virtual_time = max(priority_class.virtual_time, item.start_tag)
        self._discard(priority_class, item)

    def remove(self, item: queued_request.QueuedRequest) -> None:
        """Remove a request that is not served, and return its cost to its account."""
        priority_class = self._classes[item.request.priority]
        queue = priority_class.account_queues[item.request.account]
        refund = item.cost() / item.weight
        for later in reversed(queue.items):
            if later is item:
                break
            later.start_tag -= refund
        queue.finish_tag -= refund
        self._discard(priority_class, item)

    def count_ahead(self, priority: int, account: str, weight: float) -> float:
        """Return the estimated number of requests served before a new one of an account."""
        count = 0.0
        for other_priority, priority_class in self._classes.items():
            if other_priority < priority:
                count += priority_class.size
            elif other_priority == priority and priority_class.size:
                count += _count_ahead_in_class(priority_class, account, weight)
        return count

    def count_waiting(self, account: str) -> int:
        """Return the number of requests of an account in all classes."""
        queues = (
            priority_class.account_queues.get(account) for priority_class in self._classes.values()
        )
        return sum(len(queue.items) for queue in queues if queue is not None)

    def lowest_priority_tail(self) -> queued_request.QueuedRequest | None:
        """Return the newest request of the longest account queue in the lowest class in use."""
        for priority in sorted(self._classes, reverse=True):
            priority_class = self._classes[priority]
            if priority_class.size:
                return max(
                    priority_class.account_queues.values(), key=lambda queue: len(queue.items)
                ).items[-1]
        return None

    def items(self) -> abc.Iterator[queued_request.QueuedRequest]:
        """Iterate over all queued requests."""
        for priority_class in self._classes.values():
            for queue in priority_class.account_queues.values():
                yield from queue.items

    def _discard(self, priority_class: _PriorityClass, item: queued_request.QueuedRequest) -> None:
        priority_class.account_queues[item.request.account].items.remove(item)
        priority_class.size -= 1
        self.size -= 1
        if priority_class.size == 0:
            del self._classes[item.request.priority]


def _sort_key(item: queued_request.QueuedRequest) -> tuple[float, float, str]:
    return (item.start_tag, item.arrived_at, item.request.request_id)


def _count_ahead_in_class(priority_class: _PriorityClass, account: str, weight: float) -> float:
    """Count the requests served before a new one of an account, by turns.

    For each turn of the account, every other account is served in proportion to its weight.
    """
    own_queue = priority_class.account_queues.get(account)
    turns = len(own_queue.items) + 1 if own_queue is not None else 1
    count = float(turns - 1)
    for name, queue in priority_class.account_queues.items():
        if name != account and queue.items:
            count += min(len(queue.items), turns * queue.items[0].weight / weight)
    return count
