"""Measures the processor time of planning and commands in a data centre of 460 instances."""

from __future__ import annotations

import statistics
import time

from galenavane.control import commands, plan, table
from galenavane.experiment import control_simulation, simulated_fleet

DOMAIN_SIZES = (66, 66, 66, 66, 66, 65, 65)
INSTANCE_COUNT = 460
SPARE_COUNT = 12
REPEATS = 20
MILLISECONDS = 1_000.0


def main() -> None:
    """Print a table of processor times by group size."""
    print("| members | groups | plan from nothing, ms | plan again, ms | commands, ms |")
    print("| --- | --- | --- | --- | --- |")
    for group_size in (1, 2, 8, 32):
        site = control_simulation.Site(
            DOMAIN_SIZES, group_size, (INSTANCE_COUNT - SPARE_COUNT) // group_size
        )
        print(_measure(site))


def _measure(site: control_simulation.Site) -> str:
    configuration = control_simulation.make_configuration(site, (3.0, 1.0))
    statuses = simulated_fleet.Fleet(list(site.domain_sizes), False).statuses
    empty = table.Table(simulated_fleet.DATA_CENTRE, 1, 0, 1 << table.EPOCH_BITS)
    times: list[tuple[float, float, float]] = []
    for _ in range(REPEATS):
        stamps = [time.process_time()]
        current = plan.plan(plan.Inputs(configuration, empty, statuses, 0.0))
        stamps.append(time.process_time())
        plan.plan(plan.Inputs(configuration, current, statuses, 0.0))
        stamps.append(time.process_time())
        commands.list_due_commands(
            commands.Inputs(configuration, current, statuses, frozenset(), 1, 0.0)
        )
        stamps.append(time.process_time())
        times.append((stamps[1] - stamps[0], stamps[2] - stamps[1], stamps[3] - stamps[2]))
    first_ms, replan_ms, commands_ms = (
        statistics.median(durations) * MILLISECONDS for durations in zip(*times, strict=True)
    )
    group_count = len(current.groups)
    return (
        f"| {site.group_size} | {group_count} | "
        f"{first_ms:.1f} | {replan_ms:.1f} | {commands_ms:.1f} |"
    )


if __name__ == "__main__":
    main()
