"""Measures how much slower each group is than the others of its service."""

from __future__ import annotations

import dataclasses
from collections import abc

SMOOTHING_FACTOR = 0.2
"""Weight of a new value in the moving average; the median moves in steps of a tenth of it."""
MIN_SAMPLES = 3
SLOW_RATIO = 1.3
MAX_FACTOR = 10.0
FADE_SECONDS = 30.0
"""Time without observations after which a slowdown has faded to none."""
FAILURE_PENALTY_SECONDS = 2.0
FAILURE_PENALTY_FACTOR = 20.0


@dataclasses.dataclass(slots=True)
class _TokenLatency:
    """Observed token latency of one group.

    :ivar token_seconds: moving average of the time between two tokens.
    :ivar samples: number of observations.
    :ivar observed_at: monotonic time of the last observation.
    :ivar failed_until: monotonic time until which a failure counts.
    """

    token_seconds: float = 0.0
    samples: int = 0
    observed_at: float = 0.0
    failed_until: float = float("-inf")


class SlowdownTracker:
    """Slowdown factors of groups, from this entry's observations and from peers.

    :ivar peer_factors: factors that peers sent, by group name.
    """

    __slots__ = ("_latencies", "_median_seconds", "peer_factors")

    def __init__(self) -> None:
        self._latencies: dict[str, _TokenLatency] = {}
        self._median_seconds: dict[str, float] = {}
        self.peer_factors: dict[str, float] = {}

    def observe(self, service: str, group: str, token_seconds: float, now: float) -> None:
        """Add the mean time between two tokens of one answer."""
        latency = self._latencies.setdefault(group, _TokenLatency())
        latency.samples += 1
        weight = 1.0 if latency.samples == 1 else SMOOTHING_FACTOR
        latency.token_seconds += weight * (token_seconds - latency.token_seconds)
        latency.observed_at = now
        median = self._median_seconds.setdefault(service, token_seconds)
        step = SMOOTHING_FACTOR * median / 10.0
        self._median_seconds[service] = median + (step if token_seconds > median else -step)

    def record_failure(self, group: str, now: float) -> None:
        """Record that a group failed a request."""
        self._latencies.setdefault(group, _TokenLatency()).failed_until = (
            now + FAILURE_PENALTY_SECONDS
        )

    def factor(self, service: str, group: str, now: float) -> float:
        """Return the factor by which a group is slower than others, 1 for a healthy one."""
        latency = self._latencies.get(group)
        if latency is None or latency.samples < MIN_SAMPLES:
            factor = self.peer_factors.get(group, 1.0)
        else:
            factor = self._own_factor(service, latency, now)
        if latency is not None and now < latency.failed_until:
            return factor * FAILURE_PENALTY_FACTOR
        return factor

    def slow_groups(self, service_of: abc.Mapping[str, str], now: float) -> dict[str, float]:
        """Return the factors of the groups that this entry itself observed to be slow.

        :param service_of: service name by group name.
        """
        factors: dict[str, float] = {}
        for group, service in service_of.items():
            latency = self._latencies.get(group)
            if latency is not None and latency.samples >= MIN_SAMPLES:
                factor = self._own_factor(service, latency, now)
                if factor > 1.0:
                    factors[group] = round(factor, 2)
        return factors

    def retain(self, groups: abc.Container[str]) -> None:
        """Drop the observations of all groups except those given."""
        for name in [name for name in self._latencies if name not in groups]:
            del self._latencies[name]

    def _own_factor(self, service: str, latency: _TokenLatency, now: float) -> float:
        ratio = latency.token_seconds / max(self._median_seconds.get(service, 0.0), 1e-9)
        if ratio < SLOW_RATIO:
            return 1.0
        remaining = max(0.0, 1.0 - (now - latency.observed_at) / FADE_SECONDS)
        return 1.0 + (min(ratio, MAX_FACTOR) - 1.0) * remaining
