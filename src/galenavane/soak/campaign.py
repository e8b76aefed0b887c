"""Runs consecutive seeds until a time limit."""

from __future__ import annotations

import collections
import time

from galenavane.soak import render, run, run_result, shrink

SECONDS_PER_HOUR = 3600.0
SHRINK_LIMIT_SECONDS = 60.0


def run_seeds(first_seed: int, minutes: float, stop_at_first: bool) -> int:
    """Run consecutive seeds until the time limit and print failures and totals.

    :param minutes: wall-clock time after which no further seed starts.
    :param stop_at_first: whether to shrink the first failing schedule and stop.
    :returns: exit code, 1 if any schedule failed.
    """
    deadline = time.monotonic() + 60.0 * minutes
    seed = first_seed
    simulated_seconds = 0.0
    failed_seeds: list[int] = []
    ending_counts: collections.Counter[str] = collections.Counter()
    while time.monotonic() < deadline:
        result = run.run(seed)
        simulated_seconds += result.simulated_seconds
        ending_counts.update(result.ending_counts)
        print(_format_summary(result), flush=True)
        if result.violations:
            failed_seeds.append(seed)
            shrunk = result
            if stop_at_first:
                shrunk = shrink.shrink(result, run.run, SHRINK_LIMIT_SECONDS)
            print(render.render(shrunk), flush=True)
            if stop_at_first:
                seed += 1
                break
        seed += 1
    hours = simulated_seconds / SECONDS_PER_HOUR
    print(
        f"{seed - first_seed} schedules, {hours:.2f} simulated hours, "
        f"requests {dict(ending_counts)}"
    )
    print(
        f"{len(failed_seeds)} schedules failed: {failed_seeds}"
        if failed_seeds
        else "every schedule passed"
    )
    return 1 if failed_seeds else 0


def _format_summary(result: run_result.RunResult) -> str:
    verdict = "FAILED" if result.violations else "passed"
    summary = f"{len(result.schedule)} faults, {result.simulated_seconds:.0f} simulated s"
    return f"seed {result.seed}: {verdict}, {summary}, {result.ending_counts}, {result.digest[:12]}"
