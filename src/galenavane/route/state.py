"""State of routing at one entry."""

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

Chooser = abc.Callable[
    [abc.Sequence[candidates.Candidate], int, random.Random], candidates.Candidate | None
]


@dataclasses.dataclass(slots=True, frozen=True)
class Sent:
    """A granted request until it ends.

    :ivar predicted_seconds: predicted time to first token.
    """

    group: str
    pool: pools.Pool
    predicted_seconds: float


class State:
    """State of routing at one entry.

    :ivar sent: granted requests by id.
    :ivar usual_seconds: moving mean of a request's time at its group, by pool.
    """

    __slots__ = (
        "admissions",
        "choose",
        "concurrency",
        "fleet",
        "index",
        "limits",
        "retries",
        "sends",
        "sent",
        "suspicion",
        "usual_seconds",
    )

    def __init__(self, choose: Chooser = pick.pick) -> None:
        self.choose = choose
        self.admissions: dict[pools.Pool, admission.Admission] = {}
        self.concurrency = concurrency.Concurrency()
        self.fleet = known_groups.KnownGroups()
        self.index = prefix_index.PrefixIndex()
        self.limits = account_limits.AccountLimits()
        self.retries: dict[str, retry_budget.RetryBudget] = {}
        self.sends = in_flight.InFlightCounts()
        self.sent: dict[str, Sent] = {}
        self.suspicion = slowdown.SlowdownTracker()
        self.usual_seconds: dict[pools.Pool, float] = {}
