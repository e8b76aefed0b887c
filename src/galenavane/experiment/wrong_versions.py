"""Shows that the soak catches a wrong version of each decision: ``python -m``."""

from __future__ import annotations

import sys
import time

from galenavane.soak import outcome, run, topology, wrong

MAX_SEEDS = 30


def main(numbers: list[int] | None = None) -> int:
    """Print seed and time until each wrong version was caught; return the exit code."""
    missed = 0
    print("| invariant | wrong version | caught with seed | simulated s | real s |")
    print("| --- | --- | --- | --- | --- |")
    for one in wrong.ALL:
        if numbers and one.number not in numbers:
            continue
        start = time.monotonic()
        found = _catch(one)
        real = time.monotonic() - start
        missed += found is None
        what = "not caught |" if found is None else f"{found.seed} | {_first_at(found, one):.1f}"
        print(f"| {one.number.value} | {one.name} | {what} | {real:.1f} |", flush=True)
    return 1 if missed else 0


def _catch(one: wrong.Wrong) -> outcome.Outcome | None:
    for seed in range(1, MAX_SEEDS + 1):
        with wrong.swapped_in(one):
            found = run.run(seed, None, topology.SMALL)
        if (
            one.number in found.numbers
            and one.number not in run.run(seed, None, topology.SMALL).numbers
        ):
            return found
    return None


def _first_at(found: outcome.Outcome, one: wrong.Wrong) -> float:
    return min(seen.at_seconds for seen in found.violations if seen.number == one.number)


if __name__ == "__main__":
    sys.exit(main([int(one) for one in sys.argv[1:]]))
