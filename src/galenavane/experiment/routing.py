"""Compares routing with three baselines: ``python -m galenavane.experiment.routing [LOAD ...]``."""

from __future__ import annotations

import sys

from galenavane.experiment import baseline_policies, serving_metrics, serving_simulation
from galenavane.route import pick
from galenavane.route import state as states

LOADS = (0.7, 0.9, 1.0, 1.1, 1.5)
SEED = 1
COLUMNS = (
    "load",
    "policy",
    "admission",
    "p50 s",
    "p95 s",
    "goodput tokens/s",
    "refused",
    "Jain",
    "high p95 s",
    "high in time",
    "inverted",
)

POLICIES: dict[str, serving_simulation.MakeChooser] = {
    "random": lambda number: baseline_policies.choose_random,
    "round robin": lambda number: baseline_policies.make_round_robin(number * 11),
    "least reported load": lambda number: baseline_policies.choose_least_reported,
}


def _own(number: int) -> states.PickPolicy:
    return pick.pick


def main() -> None:
    """Print the table."""
    print(f"| {' | '.join(COLUMNS)} |")
    print("| --- " * len(COLUMNS) + "|")
    for load in [float(text) for text in sys.argv[1:]] or LOADS:
        _row(load, "galenavane", _own, True)
        for name, make in POLICIES.items():
            _row(load, name, make, True)
        for name, make in POLICIES.items():
            _row(load, name, make, False)


def _row(load: float, name: str, make: serving_simulation.MakeChooser, is_admitted: bool) -> None:
    plan = serving_simulation.Plan(make, load, SEED, is_admitted)
    found = serving_metrics.measure(serving_simulation.run(plan))
    cells = [
        str(load),
        name,
        "same" if is_admitted else "none",
        f"{found.p50_seconds:.3f}",
        f"{found.p95_seconds:.3f}",
        f"{found.goodput:.0f}",
        f"{found.refused:.3f}",
        f"{found.jain:.3f}",
        f"{found.high_p95_seconds:.3f}",
        f"{found.high_in_time:.3f}",
        f"{found.inverted:.3f}",
    ]
    print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
