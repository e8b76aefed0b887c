"""Holds the routing state of one entry."""

from __future__ import annotations

import dataclasses
import random
from collections import abc

from galenavane.route import (
    account_limits,
    admission,
    concurrency,
    in_flight,
    known_groups,
    pick,
    prefix_index,
    retry_budget,
    slowdown,
)
from galenavane.route import candidate as candidates
from galenavane.route import pool as pools

PickPolicy = abc.Callable[
    [abc.Sequence[candidates.Candidate], int, random.Random], candidates.Candidate | None
]


@dataclasses.dataclass(slots=True, frozen=True)
class SentRequest:
    """A granted request that has not ended.

    :ivar group: name of the group that it was sent to.
    :ivar predicted_seconds: predicted time to first token.
    """

    group: str
    pool: pools.Pool
    predicted_seconds: float


class State:
    """Routing state of one entry.

    :ivar pick: policy that picks one of the candidates for a request.
    :ivar admissions: admission state by pool.
    :ivar retry_budgets: retry budgets by service name.
    :ivar sent_requests: granted requests that have not ended, by request id.
    :ivar mean_request_seconds: moving average of request durations, by pool.
    """

    __slots__ = (
        "account_limits",
        "admissions",
        "concurrency",
        "groups",
        "in_flight",
        "mean_request_seconds",
        "pick",
        "prefix_index",
        "retry_budgets",
        "sent_requests",
        "slowdown",
    )

    def __init__(self, pick_policy: PickPolicy = pick.pick) -> None:
        self.pick = pick_policy
        self.admissions: dict[pools.Pool, admission.Admission] = {}
        self.concurrency = concurrency.ConcurrencyLimits()
        self.groups = known_groups.KnownGroups()
        self.prefix_index = prefix_index.PrefixIndex()
        self.account_limits = account_limits.AccountLimits()
        self.retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        self.in_flight = in_flight.InFlightCounts()
        self.sent_requests: dict[str, SentRequest] = {}
        self.slowdown = slowdown.SlowdownTracker()
        self.mean_request_seconds: dict[pools.Pool, float] = {}
