"""Decides which requests of one pool are queued and which are refused at once."""

from __future__ import annotations

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.route import decision, fair_queue, queued_request, rate

HIGHEST_PRIORITY = 0
MAX_WAITING = 1_000
MAX_ACCOUNT_WAITING = 250
LIMIT_INTERVAL_SECONDS = 1.0
RESERVE_INCREASE = 0.01
RESERVE_DECREASE = 0.0003
MAX_RESERVED = 0.25
MIN_GRANTS_PER_SECOND = 0.5
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class Admission:
    """Queue of one pool, its recent grant rates and its limit of requests in flight.

    :ivar queue: requests that wait for a group.
    :ivar grant_rates: grants per second by priority class.
    :ivar reserved: share of the pool's batch slots that only the highest priority class should
        use; it grows while more than ``RESERVE_DECREASE / RESERVE_INCREASE`` of the requests of
        that class have to wait.
    :ivar in_flight_limit: requests that this entry may have in flight in the pool; see
        ``update_in_flight_limit``.
    :ivar limit_set_at: monotonic time at which ``in_flight_limit`` was set.
    :ivar peer_reserved: ``reserved`` of each reachable peer. Entries use the mean, because the
        slots that an entry with a larger reserve keeps from its own lower classes would be filled
        by the lower classes of the other entries.
    """

    __slots__ = (
        "grant_rates",
        "in_flight_limit",
        "limit_set_at",
        "peer_reserved",
        "queue",
        "reserved",
    )

    def __init__(self) -> None:
        self.queue = fair_queue.FairQueue()
        self.grant_rates: dict[int, rate.Rate] = {}
        self.reserved = 0.0
        self.in_flight_limit = 0.0
        self.limit_set_at = float("-inf")
        self.peer_reserved: list[float] = []

    def predict_wait(self, item: queued_request.QueuedRequest, now: float) -> float:
        """Return the predicted time in seconds until a new request is granted a group."""
        req = item.request
        ahead = self.queue.count_ahead(req.priority, req.account, item.weight)
        if ahead == 0:
            return 0.0
        # The queue serves higher classes first: this request can use the grants that lower classes
        # get now, but not those of higher classes.
        grants_per_second = sum(
            grant_rate.value(now)
            for priority, grant_rate in self.grant_rates.items()
            if priority >= req.priority
        )
        return ahead / max(grants_per_second, MIN_GRANTS_PER_SECOND)

    def offer(
        self, item: queued_request.QueuedRequest, min_service_seconds: float, now: float
    ) -> list[decision.Refused]:
        """Queue a request; refuse it, or a queued one, when there is no room or time for it.

        There is no time when even the first token is predicted to come after the deadline, past
        which the caller has no use for the answer.

        :param min_service_seconds: shortest predicted time from grant to first token.
        :returns: the refused request, if any.
        """
        wait = self.predict_wait(item, now)
        if now + wait + min_service_seconds > item.request.deadline:
            overrun = now + wait + min_service_seconds - item.request.deadline
            return [refuse(item, codes.Code.DEADLINE, _describe_wait(wait), overrun)]
        refused: list[decision.Refused] = []
        if self.queue.count_waiting(item.request.account) >= MAX_ACCOUNT_WAITING:
            text = f'account "{item.request.account}" has {MAX_ACCOUNT_WAITING} requests waiting'
            return [refuse(item, codes.Code.QUEUE_FULL, text, wait)]
        if self.queue.size >= MAX_WAITING:
            rejected = self._choose_rejected(item)
            text = f"the queue is full with {MAX_WAITING} requests"
            refused.append(refuse(rejected, codes.Code.QUEUE_FULL, text, wait))
            if rejected is item:
                return refused
            self.queue.remove(rejected)
        self.queue.push(item)
        return refused

    def _choose_rejected(self, item: queued_request.QueuedRequest) -> queued_request.QueuedRequest:
        """Return the request that a full queue refuses.

        The newest request of the longest account queue in the lowest priority class is refused if
        the new request is of a higher class, or of the same class and its account would still
        have fewer requests waiting. Otherwise the new request is refused.
        """
        tail = self.queue.lowest_priority_tail()
        assert tail is not None
        if tail.request.priority > item.request.priority:
            return tail
        is_longer = self.queue.count_waiting(tail.request.account) > 1 + self.queue.count_waiting(
            item.request.account
        )
        return tail if tail.request.priority == item.request.priority and is_longer else item

    def grant(self, item: queued_request.QueuedRequest, now: float) -> None:
        """Remove a request that is granted a group, and update the grant rate and the reserve."""
        self.queue.pop(item)
        self.grant_rates.setdefault(item.request.priority, rate.Rate()).add(1.0, now)
        if item.request.priority == HIGHEST_PRIORITY:
            # The router grants a request that need not wait at the very ``now`` of its arrival.
            change = RESERVE_INCREASE if now > item.arrived_at else -RESERVE_DECREASE
            self.reserved = min(MAX_RESERVED, max(0.0, self.reserved + change))

    def reserved_share(self, priority: int) -> float:
        """Return the share of the pool's batch slots that a priority class may not use."""
        if priority == HIGHEST_PRIORITY:
            return 0.0
        return (self.reserved + sum(self.peer_reserved)) / (1 + len(self.peer_reserved))

    def update_in_flight_limit(
        self, own_in_flight: int, others_in_flight: float, capacity: int, entries: int, now: float
    ) -> None:
        """Set how many requests this entry may have in flight until the next call.

        All entries see the same free slots at the same time and would all fill them. Each entry
        therefore adds only its equal part of the free slots to the requests it has in flight, and
        recomputes it every ``LIMIT_INTERVAL_SECONDS``.

        :param own_in_flight: requests of this entry in flight in the pool.
        :param others_in_flight: estimated number of requests of other entries in flight in the
            pool, not always whole.
        :param capacity: batch slots of the pool.
        :param entries: number of entries that share the pool.
        """
        if capacity == 0 or now - self.limit_set_at < LIMIT_INTERVAL_SECONDS:
            return
        self.limit_set_at = now
        free = capacity - others_in_flight - own_in_flight
        self.in_flight_limit = max(1.0, own_in_flight + free / entries)

    def may_send(self, own_in_flight: int, priority: int, capacity: int, entries: int) -> bool:
        """Return whether a request of a priority class may be sent now."""
        return own_in_flight < max(
            1.0, self.in_flight_limit - self.reserved_share(priority) * capacity / entries
        )

    def expire(self, now: float) -> list[queued_request.QueuedRequest]:
        """Remove and return the requests whose deadlines have passed."""
        expired = [item for item in self.queue.items() if item.request.deadline <= now]
        for item in expired:
            self.queue.remove(item)
        return expired


def refuse(
    item: queued_request.QueuedRequest, code: codes.Code, text: str, retry_after_seconds: float
) -> decision.Refused:
    """Build a refusal with a retry time that is clamped to the allowed range."""
    wait = min(max(retry_after_seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
    error = failure.Failure(code, text, retry_after_seconds=wait)
    return decision.Refused(item.request.request_id, error)


def _describe_wait(wait: float) -> str:
    return f"the predicted wait of {wait:.1f} s passes the deadline"
