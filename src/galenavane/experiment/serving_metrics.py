"""Computes latency, goodput and fairness of a serving simulation."""

from __future__ import annotations

import bisect
import dataclasses
from collections import abc

from galenavane.experiment import serving_simulation, workload

WARM_UP_SECONDS = 10.0


@dataclasses.dataclass(slots=True, frozen=True)
class Metrics:
    """Results of a simulation for the requests that arrived after the warm-up.

    Shares are from 0 to 1. Percentiles are NaN when no request was answered.

    :ivar first_token_p50_seconds: median time from arrival to first token of answered requests.
    :ivar first_token_p95_seconds: 95th percentile of that time.
    :ivar goodput: output tokens per second of requests with a first token before the deadline.
    :ivar refused_share: share of requests that were refused.
    :ivar jain_index: Jain's fairness index over the accounts, of each account's goodput relative
        to its max-min fair share.
    :ivar high_first_token_p95_seconds: 95th percentile from arrival to first token of answered
        high-priority requests.
    :ivar high_in_time_share: share of all high-priority requests with a first token before the
        deadline.
    :ivar inverted_share: share of high-priority requests during whose wait a low-priority request
        was granted a group.
    """

    first_token_p50_seconds: float
    first_token_p95_seconds: float
    goodput: float
    refused_share: float
    jain_index: float
    high_first_token_p95_seconds: float
    high_in_time_share: float
    inverted_share: float


def compute(simulation: serving_simulation.Simulation) -> Metrics:
    """Compute the metrics of a finished simulation."""
    requests = [req for req in simulation.requests if req.arrived_at >= WARM_UP_SECONDS]
    high = [req for req in requests if req.priority == workload.HIGH]
    in_time = [req for req in requests if req.is_answered_in_time()]
    seconds = simulation.scenario.duration_seconds - WARM_UP_SECONDS
    return Metrics(
        _compute_percentile(_list_first_token_seconds(requests), 0.5),
        _compute_percentile(_list_first_token_seconds(requests), 0.95),
        sum(req.output_tokens for req in in_time) / seconds,
        sum(req.is_refused for req in requests) / len(requests),
        _compute_jain_index(requests, in_time),
        _compute_percentile(_list_first_token_seconds(high), 0.95),
        sum(req.is_answered_in_time() for req in high) / len(high),
        _compute_inverted_share(simulation, high),
    )


def _list_first_token_seconds(requests: abc.Iterable[workload.Request]) -> list[float]:
    return [
        req.first_token_seconds
        for req in requests
        if req.is_answered and req.first_token_seconds is not None
    ]


def _compute_percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("nan")


def _compute_jain_index(requests: list[workload.Request], in_time: list[workload.Request]) -> float:
    demands = _sum_tokens_by_account(requests)
    served = _sum_tokens_by_account(in_time)
    fair_shares = compute_max_min_shares(demands, sum(served.values()))
    ratios = [served.get(name, 0) / fair_shares[name] for name in demands]
    return sum(ratios) ** 2 / (len(ratios) * sum(ratio**2 for ratio in ratios))


def _sum_tokens_by_account(requests: abc.Iterable[workload.Request]) -> dict[str, float]:
    tokens: dict[str, float] = {}
    for req in requests:
        tokens[req.account] = tokens.get(req.account, 0.0) + req.output_tokens
    return tokens


def compute_max_min_shares(demands: abc.Mapping[str, float], total: float) -> dict[str, float]:
    """Return the max-min fair shares of a total, by account.

    No account gets more than its demand, and the smallest shares are as large as possible.

    :param demands: demand by account.
    """
    shares: dict[str, float] = {}
    left = total
    for assigned, account in enumerate(sorted(demands, key=lambda account: demands[account])):
        shares[account] = min(demands[account], left / (len(demands) - assigned))
        left -= shares[account]
    return shares


def _compute_inverted_share(
    simulation: serving_simulation.Simulation, high: list[workload.Request]
) -> float:
    low_granted_at = [at for at, priority in simulation.grants if priority == workload.LOW]
    count = 0
    for req in high:
        waited_until = req.granted_at
        if waited_until is None:
            waited_until = req.arrived_at + workload.DEADLINE_SECONDS[workload.HIGH]
        count += bisect.bisect_left(low_granted_at, waited_until) > bisect.bisect_right(
            low_granted_at, req.arrived_at
        )
    return count / len(high)
