"""Compares planners over 30 simulated days of failures."""

from __future__ import annotations

import sys
import time

from galenavane.control import plan, table
from galenavane.experiment import baseline_planners, control_simulation

DAYS = 30.0
HOUR_SECONDS = 3600.0
SEED = 1

POLICIES = (
    control_simulation.Policy("repair from spares", baseline_planners.repair_from_spares),
    control_simulation.Policy("rebuild the group", baseline_planners.rebuild_group, False, True),
    control_simulation.Policy("planner, spares empty", plan.plan),
    control_simulation.Policy("planner", plan.plan, True),
)
OUTAGE_SECONDS = 3600.0


def _plan_outside_outages(inputs: plan.Inputs) -> table.Table:
    """Plan except in the first hour of each day, when the platform is down."""
    is_down = inputs.now % control_simulation.DAY_SECONDS < OUTAGE_SECONDS
    return inputs.current if is_down else plan.plan(inputs)


FROZEN = (control_simulation.Policy("planner, frozen an hour a day", _plan_outside_outages, True),)
WEIGHTS = {"3:1": (3.0, 1.0), "1:3": (1.0, 3.0)}
TODAY = [control_simulation.Site((24, 24), 2, groups) for groups in (22, 22, 21)]
LETTER = (66, 66, 66, 66, 66, 65, 65)
SITES = {
    "today": TODAY,
    "today-copies": [control_simulation.Site((24, 24), 2, one.groups, 2) for one in TODAY],
    "today-outages": TODAY,
    "letter-1": [control_simulation.Site(LETTER, 1, 446)],
    "letter-2": [control_simulation.Site(LETTER, 2, 223)],
    "letter-8": [control_simulation.Site(LETTER, 8, 56)],
    "letter-32": [control_simulation.Site(LETTER, 32, 14)],
}


def measure(site: str, policy: control_simulation.Policy, weights: str, days: float) -> str:
    """Return one line of the table."""
    started = time.process_time()
    found = [
        control_simulation.run(one, policy, WEIGHTS[weights], days, SEED + number)
        for number, one in enumerate(SITES[site])
    ]
    downtime = sum(one.downtime for one in found) / HOUR_SECONDS
    stranded = sum(one.stranded for one in found) / HOUR_SECONDS
    loads = sum(one.loads for one in found)
    tables = sum(one.tables for one in found)
    seconds = time.process_time() - started
    return (
        f"| {site} | {policy.name} | {weights} | {downtime:.1f} | {stranded:.1f} "
        f"| {loads} | {tables} | {seconds:.0f} |"
    )


def main() -> None:
    """Print the table, for the sites named on the command line or for all."""
    names = sys.argv[1:] or list(SITES)
    print(
        "| site | policy | weights | group hours down | accelerator hours stranded "
        "| loads | table writes | processor seconds |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in names:
        for policy in FROZEN if name == "today-outages" else POLICIES:
            chosen = list(WEIGHTS) if policy.planner is plan.plan else ["3:1"]
            for weights in chosen:
                print(measure(name, policy, weights, DAYS), flush=True)


if __name__ == "__main__":
    main()
