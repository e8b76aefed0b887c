"""Measures how long plans and commands of a data centre of 460 instances take."""

from __future__ import annotations

import statistics
import time

from galenavane.control import commands, plan, table
from galenavane.experiment import control_simulation, simulated_fleet

DOMAINS = (66, 66, 66, 66, 66, 65, 65)
INSTANCES = 460
SPARES = 12
REPEATS = 20
MILLISECONDS = 1_000.0


def main() -> None:
    """Print processor time by members of a group."""
    print("| members | groups | plan from nothing, ms | plan again, ms | commands, ms |")
    print("| --- | --- | --- | --- | --- |")
    for members in (1, 2, 8, 32):
        site = control_simulation.Site(DOMAINS, members, (INSTANCES - SPARES) // members)
        print(_measure(site))


def _measure(site: control_simulation.Site) -> str:
    configuration = control_simulation.configure(site, (3.0, 1.0))
    seen = simulated_fleet.Fleet(list(site.domains), False).seen
    empty = table.Table(simulated_fleet.DATA_CENTRE, 1, 0, 1 << table.EPOCH_BITS)
    times: list[tuple[float, float, float]] = []
    for _ in range(REPEATS):
        at = [time.process_time()]
        current = plan.plan(plan.Inputs(configuration, empty, seen, 0.0))
        at.append(time.process_time())
        plan.plan(plan.Inputs(configuration, current, seen, 0.0))
        at.append(time.process_time())
        commands.list_due_commands(
            commands.Inputs(configuration, current, seen, frozenset(), 1, 0.0)
        )
        at.append(time.process_time())
        times.append((at[1] - at[0], at[2] - at[1], at[3] - at[2]))
    first, again, orders = (
        statistics.median(one) * MILLISECONDS for one in zip(*times, strict=True)
    )
    groups = len(current.groups)
    return f"| {site.members} | {groups} | {first:.1f} | {again:.1f} | {orders:.1f} |"


if __name__ == "__main__":
    main()
