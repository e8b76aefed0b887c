"""Shrinks a failing schedule by delta debugging."""

from __future__ import annotations

import time
from collections import abc

from galenavane.soak import fault_types, run_result

Run = abc.Callable[[int, list[fault_types.Fault]], run_result.RunResult]


def shrink(failing: run_result.RunResult, run: Run, limit_seconds: float) -> run_result.RunResult:
    """Remove faults while at least one of the same invariants is still violated (ddmin).

    :param limit_seconds: wall-clock time after which no further schedule is tried.
    :returns: result of the smallest failing schedule that was found.
    """
    best = failing
    deadline = time.monotonic() + limit_seconds
    chunk_size = max(1, len(best.schedule) // 2)
    while time.monotonic() < deadline:
        smaller = _find_smaller(best, run, chunk_size, failing.violated_numbers, deadline)
        if smaller is not None:
            best = smaller
            chunk_size = max(1, min(chunk_size, len(best.schedule) // 2))
        elif chunk_size == 1:
            break
        else:
            chunk_size //= 2
    return best


def _find_smaller(
    best: run_result.RunResult,
    run: Run,
    chunk_size: int,
    violated_numbers: set[int],
    deadline: float,
) -> run_result.RunResult | None:
    """Return the first run that still fails without ``chunk_size`` consecutive faults."""
    for start in range(0, len(best.schedule), chunk_size):
        if time.monotonic() > deadline:
            return None
        kept = best.schedule[:start] + best.schedule[start + chunk_size :]
        candidate = run(best.seed, kept)
        if candidate.violated_numbers & violated_numbers:
            return candidate
    return None
