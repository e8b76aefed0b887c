"""Shows that the soak catches a wrong version of each decision: ``python -m``."""

from __future__ import annotations

import sys
import time

from galenavane import invariant
from galenavane.soak import fault_types, mutants, run, run_result, topology

MAX_SEEDS = 30
# Random schedules seldom break a job's connection in the 0.15 s that it takes.
DIRECTED = {
    invariant.Number.AT_MOST_ONCE: [
        fault_types.Fault(1.0, fault_types.Kind.CUT_AFTER, 8.0, ["desk-0", "desk-1"], [], 60)
    ]
}


def main(numbers: list[int] | None = None) -> int:
    """Print seed and time until each wrong version was caught; return the exit code."""
    missed = 0
    print("| invariant | wrong version | caught with seed | simulated s | real s |")
    print("| --- | --- | --- | --- | --- |")
    for one in mutants.ALL:
        if numbers and one.number not in numbers:
            continue
        start = time.monotonic()
        found = _catch(one)
        real = time.monotonic() - start
        missed += found is None
        what = "not caught |" if found is None else f"{found.seed} | {_first_at(found, one):.1f}"
        print(f"| {one.number.value} | {one.name} | {what} | {real:.1f} |", flush=True)
    return 1 if missed else 0


def _catch(one: mutants.Mutant) -> run_result.RunResult | None:
    schedule = DIRECTED.get(one.number)
    for seed in range(1, MAX_SEEDS + 1):
        with mutants.applied(one):
            found = run.run(seed, schedule, topology.SMALL)
        if one.number not in found.violated_numbers:
            continue
        if one.number not in run.run(seed, schedule, topology.SMALL).violated_numbers:
            return found
    return None


def _first_at(found: run_result.RunResult, one: mutants.Mutant) -> float:
    return min(seen.at_seconds for seen in found.violations if seen.number == one.number)


if __name__ == "__main__":
    sys.exit(main([int(one) for one in sys.argv[1:]]))
