"""Runs one seed after another for a time."""

from __future__ import annotations

import collections
import time

from galenavane.soak import render, run, run_result, shrink

SECONDS_PER_HOUR = 3600.0
SHRINK_LIMIT_SECONDS = 60.0


def run_seeds(first_seed: int, minutes: float, stop_at_first: bool) -> int:
    """Run seeds until the time is over; print failures and totals, return the exit code."""
    end = time.monotonic() + 60.0 * minutes
    seed = first_seed
    seconds = 0.0
    failed: list[int] = []
    endings: collections.Counter[str] = collections.Counter()
    while time.monotonic() < end:
        found = run.run(seed)
        seconds += found.simulated_seconds
        endings.update(found.ending_counts)
        print(_format_summary(found), flush=True)
        if found.violations:
            failed.append(seed)
            smallest = found
            if stop_at_first:
                smallest = shrink.shrink(found, run.run, SHRINK_LIMIT_SECONDS)
            print(render.render(smallest), flush=True)
            if stop_at_first:
                seed += 1
                break
        seed += 1
    hours = seconds / SECONDS_PER_HOUR
    print(f"{seed - first_seed} schedules, {hours:.2f} simulated hours, requests {dict(endings)}")
    print(f"{len(failed)} schedules failed: {failed}" if failed else "every schedule passed")
    return 1 if failed else 0


def _format_summary(found: run_result.RunResult) -> str:
    verdict = "FAILED" if found.violations else "passed"
    what = f"{len(found.schedule)} faults, {found.simulated_seconds:.0f} simulated s"
    return f"seed {found.seed}: {verdict}, {what}, {found.ending_counts}, {found.digest[:12]}"
