"""Finds a shorter schedule that still fails."""

from __future__ import annotations

import time
from collections import abc

from galenavane.soak import fault_types, run_result

Run = abc.Callable[[int, list[fault_types.Fault]], run_result.RunResult]


def shrink(failed: run_result.RunResult, run: Run, limit_seconds: float) -> run_result.RunResult:
    """Drop faults as long as one of the same invariants is still broken (ddmin)."""
    best = failed
    end = time.monotonic() + limit_seconds
    size = max(1, len(best.schedule) // 2)
    while time.monotonic() < end:
        smaller = _find_smaller(best, run, size, failed.violated_numbers, end)
        if smaller is not None:
            best = smaller
            size = max(1, min(size, len(best.schedule) // 2))
        elif size == 1:
            break
        else:
            size //= 2
    return best


def _find_smaller(
    best: run_result.RunResult, run: Run, size: int, numbers: set[int], end: float
) -> run_result.RunResult | None:
    """Return the first run that still fails without ``size`` neighbouring faults."""
    for start in range(0, len(best.schedule), size):
        if time.monotonic() > end:
            return None
        kept = best.schedule[:start] + best.schedule[start + size :]
        tried = run(best.seed, kept)
        if tried.violated_numbers & numbers:
            return tried
    return None
