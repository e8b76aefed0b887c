"""Runs streamed responses under faults and counts wrong, duplicated and missing tokens.

``python -m galenavane.experiment.stream_faults --seeds 20``
"""

from __future__ import annotations

import collections

import defopt

from galenavane.experiment import stream_fault_run


def run(*, first: int = 1, seeds: int = 20, streams: int = 100) -> int:
    """Run deployments and print how their streams ended; return the exit code.

    :param first: seed of the first deployment.
    :param seeds: number of deployments.
    :param streams: number of streams in each deployment.
    """
    violations: list[str] = []
    ending_counts: collections.Counter[str] = collections.Counter()
    fault_counts: collections.Counter[str] = collections.Counter()
    resume_count = 0
    for seed in range(first, first + seeds):
        result = stream_fault_run.run(seed, streams)
        violations += [f"seed {seed}: {violation}" for violation in result.violations]
        ending_counts += result.ending_counts
        fault_counts += result.fault_counts
        resume_count += result.resume_count
    print(f"{seeds * streams} streams, {resume_count} resumes, {len(violations)} violations")
    print("ended: " + ", ".join(f"{name} {count}" for name, count in sorted(ending_counts.items())))
    print("faults: " + ", ".join(f"{name} {count}" for name, count in sorted(fault_counts.items())))
    for violation in violations:
        print(violation)
    return 1 if violations else 0


def main() -> None:
    """Run from the command line."""
    raise SystemExit(defopt.run(run))


if __name__ == "__main__":
    main()
