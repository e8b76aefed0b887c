"""How much slower than the others each group has been seen to be."""

from __future__ import annotations

import dataclasses
from collections import abc

LEARNING_RATE = 0.2
MIN_SAMPLES = 3
SLOW_RATIO = 1.3
MAX_FACTOR = 10.0
MEMORY_SECONDS = 30.0
FAILURE_SECONDS = 2.0
FAILURE_FACTOR = 20.0


@dataclasses.dataclass(slots=True)
class _Pace:
    """Observed pace of one group.

    :ivar token_seconds: moving mean of the time between two tokens.
    :ivar failed_until: monotonic time until which a failure counts.
    """

    token_seconds: float = 0.0
    samples: int = 0
    observed_at: float = 0.0
    failed_until: float = float("-inf")


class SlowdownTracker:
    """Observed paces by group name.

    :ivar peer_factors: factors that peers told, by group name.
    """

    __slots__ = ("_paces", "_usual", "peer_factors")

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}
        self._usual: dict[str, float] = {}
        self.peer_factors: dict[str, float] = {}

    def observe(self, service: str, group: str, token_seconds: float, now: float) -> None:
        """Take in the mean time between two tokens of one answer."""
        pace = self._paces.setdefault(group, _Pace())
        pace.samples += 1
        rate = 1.0 if pace.samples == 1 else LEARNING_RATE
        pace.token_seconds += rate * (token_seconds - pace.token_seconds)
        pace.observed_at = now
        usual = self._usual.setdefault(service, token_seconds)
        step = LEARNING_RATE * usual / 10.0
        self._usual[service] = usual + (step if token_seconds > usual else -step)

    def record_failure(self, group: str, now: float) -> None:
        """Note that a group failed a request."""
        self._paces.setdefault(group, _Pace()).failed_until = now + FAILURE_SECONDS

    def factor(self, service: str, group: str, now: float) -> float:
        """Return how many times slower a group is than others; 1 for a healthy one."""
        pace = self._paces.get(group)
        if pace is None or pace.samples < MIN_SAMPLES:
            factor = self.peer_factors.get(group, 1.0)
        else:
            factor = self._own_factor(service, pace, now)
        if pace is not None and now < pace.failed_until:
            return factor * FAILURE_FACTOR
        return factor

    def slow_groups(self, service_of: abc.Mapping[str, str], now: float) -> dict[str, float]:
        """Return the groups that this entry itself has seen to be slow, with factors."""
        found: dict[str, float] = {}
        for group, service in service_of.items():
            pace = self._paces.get(group)
            if pace is not None and pace.samples >= MIN_SAMPLES:
                factor = self._own_factor(service, pace, now)
                if factor > 1.0:
                    found[group] = round(factor, 2)
        return found

    def retain(self, groups: abc.Container[str]) -> None:
        """Forget all groups but those given."""
        for name in [name for name in self._paces if name not in groups]:
            del self._paces[name]

    def _own_factor(self, service: str, pace: _Pace, now: float) -> float:
        ratio = pace.token_seconds / max(self._usual.get(service, 0.0), 1e-9)
        if ratio < SLOW_RATIO:
            return 1.0
        faded = max(0.0, 1.0 - (now - pace.observed_at) / MEMORY_SECONDS)
        return 1.0 + (min(ratio, MAX_FACTOR) - 1.0) * faded
