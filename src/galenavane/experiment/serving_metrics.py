"""Figures of one run of the serving model."""

from __future__ import annotations

import bisect
import dataclasses
from collections import abc

from galenavane.experiment import serving_simulation, workload

WARM_UP_SECONDS = 10.0


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """What a run gave, over the requests that arrived after the warm-up.

    :ivar p50_seconds: first token of those answered, from arrival; likewise the others.
    :ivar goodput: tokens a second of answers whose first token came inside the deadline.
    :ivar refused: share of the requests.
    :ivar jain: Jain index of the accounts' goodput relative to their max-min fair part.
    :ivar high_in_time: share of all high-class requests with a first token inside the deadline.
    :ivar inverted: share of high-class requests that waited while a later low one got a group.
    """

    p50_seconds: float
    p95_seconds: float
    goodput: float
    refused: float
    jain: float
    high_p95_seconds: float
    high_in_time: float
    inverted: float


def measure(model: serving_simulation.Model) -> Figures:
    """Work out the figures of a run."""
    found = [req for req in model.requests if req.arrived_at >= WARM_UP_SECONDS]
    high = [req for req in found if req.priority == workload.HIGH]
    good = [req for req in found if req.is_good()]
    seconds = model.plan.seconds - WARM_UP_SECONDS
    return Figures(
        _percentile(_first_tokens(found), 0.5),
        _percentile(_first_tokens(found), 0.95),
        sum(req.answer_tokens for req in good) / seconds,
        sum(req.is_refused for req in found) / len(found),
        _jain(found, good),
        _percentile(_first_tokens(high), 0.95),
        sum(req.is_good() for req in high) / len(high),
        _inverted(model, high),
    )


def _first_tokens(found: abc.Iterable[workload.Request]) -> list[float]:
    return [
        req.first_token_seconds
        for req in found
        if req.is_answered and req.first_token_seconds is not None
    ]


def _percentile(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else float("nan")


def _jain(found: list[workload.Request], good: list[workload.Request]) -> float:
    wanted = _tokens_by_account(found)
    got = _tokens_by_account(good)
    fair = max_min(wanted, sum(got.values()))
    ratios = [got.get(name, 0) / fair[name] for name in wanted]
    return sum(ratios) ** 2 / (len(ratios) * sum(ratio**2 for ratio in ratios))


def _tokens_by_account(found: abc.Iterable[workload.Request]) -> dict[str, float]:
    tokens: dict[str, float] = {}
    for req in found:
        tokens[req.account] = tokens.get(req.account, 0.0) + req.answer_tokens
    return tokens


def max_min(wanted: abc.Mapping[str, float], total: float) -> dict[str, float]:
    """Split a total so that no one gets more than wanted and the least get all they can."""
    fair: dict[str, float] = {}
    left = total
    for done, name in enumerate(sorted(wanted, key=lambda one: wanted[one])):
        fair[name] = min(wanted[name], left / (len(wanted) - done))
        left -= fair[name]
    return fair


def _inverted(model: serving_simulation.Model, high: list[workload.Request]) -> float:
    low = [at for at, priority in model.grants if priority == workload.LOW]
    count = 0
    for req in high:
        end = req.granted_at
        if end is None:
            end = req.arrived_at + workload.DEADLINE_SECONDS[workload.HIGH]
        count += bisect.bisect_left(low, end) > bisect.bisect_right(low, req.arrived_at)
    return count / len(high)
