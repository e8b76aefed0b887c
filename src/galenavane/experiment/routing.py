"""Compares the routing policy with three baselines in simulation.

Run ``python -m galenavane.experiment.routing [LOAD ...]``.
"""

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

BASELINES: dict[str, serving_simulation.MakePickPolicy] = {
    "random": lambda number: baseline_policies.pick_random,
    "round robin": lambda number: baseline_policies.make_round_robin(number * 11),
    "least reported load": lambda number: baseline_policies.pick_least_loaded,
}


def _make_own_policy(number: int) -> states.PickPolicy:
    return pick.pick


def main() -> None:
    """Print a table of the metrics by load, policy and admission control."""
    print(f"| {' | '.join(COLUMNS)} |")
    print("| --- " * len(COLUMNS) + "|")
    for load in [float(text) for text in sys.argv[1:]] or LOADS:
        _print_row(load, "galenavane", _make_own_policy, True)
        for policy_name, make_policy in BASELINES.items():
            _print_row(load, policy_name, make_policy, True)
        for policy_name, make_policy in BASELINES.items():
            _print_row(load, policy_name, make_policy, False)


def _print_row(
    load: float,
    policy_name: str,
    make_policy: serving_simulation.MakePickPolicy,
    has_admission_control: bool,
) -> None:
    scenario = serving_simulation.Scenario(make_policy, load, SEED, has_admission_control)
    metrics = serving_metrics.compute(serving_simulation.run(scenario))
    cells = [
        str(load),
        policy_name,
        "same" if has_admission_control else "none",
        f"{metrics.first_token_p50_seconds:.3f}",
        f"{metrics.first_token_p95_seconds:.3f}",
        f"{metrics.goodput:.0f}",
        f"{metrics.refused_share:.3f}",
        f"{metrics.jain_index:.3f}",
        f"{metrics.high_first_token_p95_seconds:.3f}",
        f"{metrics.high_in_time_share:.3f}",
        f"{metrics.inverted_share:.3f}",
    ]
    print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
