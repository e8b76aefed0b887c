"""Measure processor time and memory of entries by the numbers of instances and entries.

Run with ``make capacity``; prints one row per size and role.
"""

from __future__ import annotations

import argparse
import dataclasses
import os
import pathlib
import sys
import tempfile
import time

import demo

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
FLEET_SIZE = 116
"""Maximum number of instances in one stand-in process."""
WARM_UP_SECONDS = 12.0


@dataclasses.dataclass(slots=True)
class Cost:
    """Processor time and memory of one entry during a measurement."""

    name: str
    holds_lease: bool
    core_percent: float
    memory_mb: float


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def write_declarations(folder: pathlib.Path, group_size: int, replicas: int) -> None:
    """Write declarations of one service with the given number of groups."""
    folder.mkdir()
    (folder / "all.ini").write_text(
        "[deployment measured]\n"
        f"[service scribe-model]\nkind = model\nmembers = {group_size}\n"
        "[model scribe]\nversions = v1\n"
        "[preset ordinary]\n"
        "[run ordinary/scribe-model]\nmodel = scribe\nversion = v1\n"
        f"replicas = {demo.DATA_CENTRE}:{replicas}\n"
    )


def measure(instance_count: int, entry_count: int, group_size: int, seconds: float) -> list[Cost]:
    """Run a data centre of a given size and return the cost of each entry."""
    with tempfile.TemporaryDirectory(prefix="galenavane-") as name:
        deployment = demo.Demo(pathlib.Path(name))
        try:
            return measure_deployment(deployment, instance_count, entry_count, group_size, seconds)
        finally:
            deployment.stop()


def measure_deployment(
    deployment: demo.Demo, instance_count: int, entry_count: int, group_size: int, seconds: float
) -> list[Cost]:
    """Start all processes, wait until all groups are complete, and measure."""
    free = demo.find_free_addresses(1 + 3 * entry_count)
    platform = free.pop()
    deployment.start("platform", "standin", "platform", platform)
    platform_args = ["--platform", platform, "--data-centre", demo.DATA_CENTRE]
    for first in range(0, instance_count, FLEET_SIZE):
        count = min(FLEET_SIZE, instance_count - first)
        args = ["--count", str(count), "--first", str(first)]
        deployment.start(
            f"fleet-{first}",
            "standin",
            "fleet",
            f"127.0.0.1:{21000 + first}",
            *platform_args,
            *args,
        )
    entry_addresses = [[free.pop() for _ in range(3)] for _ in range(entry_count)]
    for number, addresses in enumerate(entry_addresses):
        demo.start_entry(deployment, f"entry-{number}", platform, addresses)
    declarations = deployment.folder / "declarations"
    replicas = instance_count // 32 * (32 // group_size)
    write_declarations(declarations, group_size, replicas)
    demo.wait_for(
        deployment, "the platform answers", lambda: demo.get_json(platform, "/v1/list") != {}
    )
    deployment.run("apply", str(declarations), "--platform", platform)
    last_operator_address = entry_addresses[-1][1]
    demo.wait_for(
        deployment,
        f"{replicas} groups are complete",
        lambda: demo.count_complete_groups(last_operator_address) == replicas,
    )
    time.sleep(WARM_UP_SECONDS)
    return measure_entries(deployment, entry_addresses, seconds)


def measure_entries(
    deployment: demo.Demo, entry_addresses: list[list[str]], seconds: float
) -> list[Cost]:
    """Measure all entries over the same period."""
    pids = {
        name: process.pid
        for name, process in deployment.processes.items()
        if name.startswith("entry-")
    }
    cpu_before = {name: read_cpu_seconds(pid) for name, pid in pids.items()}
    started_at = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started_at
    costs = []
    for number, (name, pid) in enumerate(pids.items()):
        cpu_seconds = read_cpu_seconds(pid) - cpu_before[name]
        token = demo.get_json(entry_addresses[number][1], "/status").get("token")
        costs.append(
            Cost(
                name,
                token is not None,
                100 * cpu_seconds / elapsed,
                read_resident_mb(pid),
            )
        )
    return costs


def main() -> int:
    """Print a table of costs by numbers of instances and entries."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, nargs="+", default=[64, 128, 256, 448])
    parser.add_argument("--entries", type=int, nargs="+", default=[4])
    parser.add_argument("--members", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    print("| instances | entries | role | core % | memory MB |")
    print("| --- | --- | --- | --- | --- |")
    for instance_count in args.instances:
        for entry_count in args.entries:
            costs = measure(instance_count, entry_count, args.members, args.seconds)
            print_rows(instance_count, entry_count, costs)
    return 0


def print_rows(instance_count: int, entry_count: int, costs: list[Cost]) -> None:
    """Print a row for the entries without the lease and one for the lease holder.

    Processor time is the mean of a row's entries, memory the largest.
    """
    for role, role_costs in (
        ("entry", [cost for cost in costs if not cost.holds_lease]),
        ("holder", [cost for cost in costs if cost.holds_lease]),
    ):
        if not role_costs:
            continue
        count = len(role_costs)
        cells = [
            str(instance_count),
            str(entry_count),
            role,
            f"{sum(cost.core_percent for cost in role_costs) / count:.1f}",
            f"{max(cost.memory_mb for cost in role_costs):.0f}",
        ]
        print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    sys.exit(main())
