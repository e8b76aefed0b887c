"""Finds a shorter schedule that still fails."""

from __future__ import annotations

import time
from collections import abc

from galenavane.soak import fault, outcome

Run = abc.Callable[[int, list[fault.Fault]], outcome.Outcome]


def shrink(failed: outcome.Outcome, run: Run, limit_seconds: float) -> outcome.Outcome:
    """Drop faults as long as one of the same invariants is still broken (ddmin)."""
    best = failed
    end = time.monotonic() + limit_seconds
    size = max(1, len(best.schedule) // 2)
    while time.monotonic() < end:
        smaller = _drop_one(best, run, size, failed.numbers, end)
        if smaller is not None:
            best = smaller
            size = max(1, min(size, len(best.schedule) // 2))
        elif size == 1:
            break
        else:
            size //= 2
    return best


def _drop_one(
    best: outcome.Outcome, run: Run, size: int, numbers: set[int], end: float
) -> outcome.Outcome | None:
    """Return the first run that still fails without ``size`` neighbouring faults."""
    for start in range(0, len(best.schedule), size):
        if time.monotonic() > end:
            return None
        kept = best.schedule[:start] + best.schedule[start + size :]
        tried = run(best.seed, kept)
        if tried.numbers & numbers:
            return tried
    return None
