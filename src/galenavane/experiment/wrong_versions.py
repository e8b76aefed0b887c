"""Checks that the soak detects each mutant, a wrong version of one decision.

``python -m galenavane.experiment.wrong_versions``
"""

from __future__ import annotations

import sys
import time

from galenavane import invariant
from galenavane.soak import fault_types, mutants, run, run_result, topology

MAX_SEEDS = 30
# Random schedules rarely break a job's connection during the 0.15 s that the job takes.
DIRECTED_SCHEDULES = {
    invariant.Number.AT_MOST_ONCE: [
        fault_types.Fault(1.0, fault_types.Kind.CUT_AFTER, 8.0, ["desk-0", "desk-1"], [], 60)
    ]
}


def main(numbers: list[int] | None = None) -> int:
    """Print the seed and the time that it takes to detect each mutant; return the exit code.

    :param numbers: numbers of the invariants whose mutants are run; all if empty.
    """
    missed = 0
    print("| invariant | wrong version | caught with seed | simulated s | real s |")
    print("| --- | --- | --- | --- | --- |")
    for mutant in mutants.ALL:
        if numbers and mutant.number not in numbers:
            continue
        started_at = time.monotonic()
        result = _find_catching_run(mutant)
        real_seconds = time.monotonic() - started_at
        missed += result is None
        cells = (
            "not caught |"
            if result is None
            else f"{result.seed} | {_get_first_violation_seconds(result, mutant):.1f}"
        )
        print(
            f"| {mutant.number.value} | {mutant.name} | {cells} | {real_seconds:.1f} |", flush=True
        )
    return 1 if missed else 0


def _find_catching_run(mutant: mutants.Mutant) -> run_result.RunResult | None:
    schedule = DIRECTED_SCHEDULES.get(mutant.number)
    for seed in range(1, MAX_SEEDS + 1):
        with mutants.applied(mutant):
            result = run.run(seed, schedule, topology.SMALL)
        if mutant.number not in result.violated_numbers:
            continue
        if mutant.number not in run.run(seed, schedule, topology.SMALL).violated_numbers:
            return result
    return None


def _get_first_violation_seconds(result: run_result.RunResult, mutant: mutants.Mutant) -> float:
    return min(
        violation.at_seconds for violation in result.violations if violation.number == mutant.number
    )


if __name__ == "__main__":
    sys.exit(main([int(number) for number in sys.argv[1:]]))
