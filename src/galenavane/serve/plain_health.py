"""Tracks recent failures of plain targets from the results of requests."""

from __future__ import annotations

import dataclasses
from collections import abc

FIRST_PAUSE_SECONDS = 1.0
LONGEST_PAUSE_SECONDS = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Suspicion:
    """Backoff state of a target that failed.

    :ivar failures: number of consecutive failed requests.
    :ivar until: monotonic time in seconds until which other targets are preferred.
    """

    failures: int
    until: float


class PlainHealth:
    """Consecutive failures by target name; a success resets them."""

    __slots__ = ("_suspected",)

    def __init__(self) -> None:
        self._suspected: dict[str, _Suspicion] = {}

    def record_success(self, name: str) -> None:
        """Record that a target responded, whatever the status."""
        self._suspected.pop(name, None)

    def record_failure(self, name: str, now: float) -> None:
        """Record that a target was unreachable, timed out or broke the connection."""
        previous = self._suspected.get(name)
        self._forget_old(now)
        failures = 1 if previous is None else previous.failures + 1
        pause = min(LONGEST_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2.0 ** (failures - 1))
        self._suspected[name] = _Suspicion(failures, now + pause)

    def select_preferred(self, names: abc.Iterable[str], now: float) -> set[str]:
        """Return the names without recent failures, or all of them when every one has failed."""
        candidates = set(names)
        healthy = {name for name in candidates if not self._is_suspected(name, now)}
        return healthy or candidates

    def _forget_old(self, now: float) -> None:
        oldest_kept = now - LONGEST_PAUSE_SECONDS
        kept = {
            name: suspicion
            for name, suspicion in self._suspected.items()
            if suspicion.until >= oldest_kept
        }
        self._suspected = kept

    def _is_suspected(self, name: str, now: float) -> bool:
        suspicion = self._suspected.get(name)
        return suspicion is not None and now < suspicion.until
