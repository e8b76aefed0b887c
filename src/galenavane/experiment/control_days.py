"""Compares planners over 30 simulated days of instance failures."""

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
DAILY_OUTAGE_SECONDS = 3600.0


def _plan_outside_outages(inputs: plan.Inputs) -> table.Table:
    """Plan, except in the first hour of each day, when the platform is down."""
    is_down = inputs.now % control_simulation.DAY_SECONDS < DAILY_OUTAGE_SECONDS
    return inputs.current if is_down else plan.plan(inputs)


OUTAGE_POLICIES = (
    control_simulation.Policy("planner, frozen an hour a day", _plan_outside_outages, True),
)
WEIGHTS = {"3:1": (3.0, 1.0), "1:3": (1.0, 3.0)}
CURRENT_SITES = [control_simulation.Site((24, 24), 2, groups) for groups in (22, 22, 21)]
LARGE_DOMAIN_SIZES = (66, 66, 66, 66, 66, 65, 65)
SITES = {
    "today": CURRENT_SITES,
    "today-copies": [
        control_simulation.Site((24, 24), 2, site.group_count, 2) for site in CURRENT_SITES
    ],
    "today-outages": CURRENT_SITES,
    "letter-1": [control_simulation.Site(LARGE_DOMAIN_SIZES, 1, 446)],
    "letter-2": [control_simulation.Site(LARGE_DOMAIN_SIZES, 2, 223)],
    "letter-8": [control_simulation.Site(LARGE_DOMAIN_SIZES, 8, 56)],
    "letter-32": [control_simulation.Site(LARGE_DOMAIN_SIZES, 32, 14)],
}


def measure(
    site_name: str, policy: control_simulation.Policy, weight_name: str, days: float
) -> str:
    """Simulate a site with one policy and return its row of the table.

    :param weight_name: key of ``WEIGHTS``.
    """
    started_at = time.process_time()
    site_totals = [
        control_simulation.run(site, policy, WEIGHTS[weight_name], days, SEED + number)
        for number, site in enumerate(SITES[site_name])
    ]
    downtime_hours = sum(totals.downtime_seconds for totals in site_totals) / HOUR_SECONDS
    stranded_hours = sum(totals.stranded_seconds for totals in site_totals) / HOUR_SECONDS
    load_count = sum(totals.load_count for totals in site_totals)
    table_count = sum(totals.table_count for totals in site_totals)
    cpu_seconds = time.process_time() - started_at
    return (
        f"| {site_name} | {policy.name} | {weight_name} "
        f"| {downtime_hours:.1f} | {stranded_hours:.1f} "
        f"| {load_count} | {table_count} | {cpu_seconds:.0f} |"
    )


def main() -> None:
    """Print a table of the sites named on the command line, by default of all."""
    site_names = sys.argv[1:] or list(SITES)
    print(
        "| site | policy | weights | group hours down | accelerator hours stranded "
        "| loads | table writes | processor seconds |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for site_name in site_names:
        for policy in OUTAGE_POLICIES if site_name == "today-outages" else POLICIES:
            weight_names = list(WEIGHTS) if policy.planner is plan.plan else ["3:1"]
            for weight_name in weight_names:
                print(measure(site_name, policy, weight_name, DAYS), flush=True)


if __name__ == "__main__":
    main()
