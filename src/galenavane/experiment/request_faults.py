"""Runs seeded fault schedules over non-idempotent requests and counts violations.

``python -m galenavane.experiment.request_faults --count 10000``
"""

from __future__ import annotations

import collections
import time

import defopt

from galenavane.experiment import fault_schedule


def run(*, first: int = 1, count: int = 10_000) -> int:
    """Run schedules and print a summary and all violations; return the exit code.

    :param first: seed of the first schedule.
    :param count: number of schedules.
    """
    started_at = time.monotonic()
    violations: list[str] = []
    outcome_counts: collections.Counter[str] = collections.Counter()
    fault_counts: collections.Counter[str] = collections.Counter()
    for seed in range(first, first + count):
        result = fault_schedule.run(seed)
        violations += [f"seed {seed}: {violation}" for violation in result.violations]
        outcome_counts += result.outcome_counts
        fault_counts += result.fault_counts
    print(f"{count} schedules from seed {first}, {len(violations)} violations")
    print(
        f"{fault_schedule.JOB_COUNT * count} jobs; callers were told: "
        f"{_format_counts(outcome_counts)}"
    )
    print(f"faults: {_format_counts(fault_counts)}")
    print(f"{time.monotonic() - started_at:.0f} s")
    for violation in violations:
        print(violation)
    return 1 if violations else 0


def _format_counts(counts: collections.Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


def main() -> None:
    """Run from the command line."""
    raise SystemExit(defopt.run(run))


if __name__ == "__main__":
    main()
