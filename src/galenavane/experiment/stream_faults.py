"""Runs streamed answers under faults and counts wrong, doubled and missing tokens.

``python -m galenavane.experiment.stream_faults --seeds 20``
"""

from __future__ import annotations

import collections

import defopt

from galenavane.experiment import stream_fault_run


def run(*, first: int = 1, seeds: int = 20, streams: int = 100) -> int:
    """Run deployments and print what their callers got; return the exit code.

    :param first: seed of the first deployment.
    :param seeds: number of deployments.
    :param streams: streams in each.
    """
    violations: list[str] = []
    ended: collections.Counter[str] = collections.Counter()
    faults: collections.Counter[str] = collections.Counter()
    resumed = 0
    for seed in range(first, first + seeds):
        result = stream_fault_run.run(seed, streams)
        violations += [f"seed {seed}: {line}" for line in result.violations]
        ended += result.ended
        faults += result.faults
        resumed += result.resumed
    print(f"{seeds * streams} streams, {resumed} resumes, {len(violations)} violations")
    print("ended: " + ", ".join(f"{name} {count}" for name, count in sorted(ended.items())))
    print("faults: " + ", ".join(f"{name} {count}" for name, count in sorted(faults.items())))
    for line in violations:
        print(line)
    return 1 if violations else 0


def main() -> None:
    """Run from the command line."""
    raise SystemExit(defopt.run(run))


if __name__ == "__main__":
    main()
