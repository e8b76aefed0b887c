"""Runs seeded fault schedules over non-idempotent requests and counts violations.

``python -m galenavane.experiment.request_faults --count 10000``
"""

from __future__ import annotations

import collections
import time

import defopt

from galenavane.experiment import fault_schedule


def run(*, first: int = 1, count: int = 10_000) -> int:
    """Run schedules and print what they showed; return the exit code.

    :param first: seed of the first schedule.
    :param count: number of schedules.
    """
    started = time.monotonic()
    violations: list[str] = []
    told: collections.Counter[str] = collections.Counter()
    faults: collections.Counter[str] = collections.Counter()
    for seed in range(first, first + count):
        result = fault_schedule.run(seed)
        violations += [f"seed {seed}: {line}" for line in result.violations]
        told += result.told
        faults += result.faults
    print(f"{count} schedules from seed {first}, {len(violations)} violations")
    print(f"{fault_schedule.JOBS * count} jobs; callers were told: {_format(told)}")
    print(f"faults: {_format(faults)}")
    print(f"{time.monotonic() - started:.0f} s")
    for line in violations:
        print(line)
    return 1 if violations else 0


def _format(counts: collections.Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


def main() -> None:
    """Run from the command line."""
    raise SystemExit(defopt.run(run))


if __name__ == "__main__":
    main()
