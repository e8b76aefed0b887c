"""Measure what control costs entries: processor time and memory by instances and by entries.

Run with ``make capacity``; prints one row a size and the fitted slope.
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

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
FLEET_SIZE = 116
WARM_SECONDS = 12.0


@dataclasses.dataclass(slots=True)
class Cost:
    """What one entry used while it was measured."""

    name: str
    is_holder: bool
    core_percent: float
    memory_mb: float


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def write_declarations(folder: pathlib.Path, members: int, replicas: int) -> None:
    """Write declarations that fill a data centre with groups."""
    folder.mkdir()
    (folder / "all.ini").write_text(
        "[deployment measured]\n"
        f"[service scribe-model]\nkind = model\nmembers = {members}\n"
        "[model scribe]\nversions = v1\n"
        "[preset ordinary]\n"
        "[run ordinary/scribe-model]\nmodel = scribe\nversion = v1\n"
        f"replicas = {demo.DATA_CENTRE}:{replicas}\n"
    )


def measure(instances: int, entries: int, members: int, seconds: float) -> list[Cost]:
    """Start a data centre of a size and return what each entry used."""
    with tempfile.TemporaryDirectory(prefix="galenavane-") as name:
        run = demo.Demo(pathlib.Path(name))
        try:
            return run_measured(run, instances, entries, members, seconds)
        finally:
            run.stop()


def run_measured(
    run: demo.Demo, instances: int, entries: int, members: int, seconds: float
) -> list[Cost]:
    """Start everything, wait until all groups are complete, and measure."""
    found = demo.free_addresses(1 + 3 * entries)
    platform = found.pop()
    run.start("platform", "standin", "platform", platform)
    place = ["--platform", platform, "--data-centre", demo.DATA_CENTRE]
    for first in range(0, instances, FLEET_SIZE):
        count = min(FLEET_SIZE, instances - first)
        args = ["--count", str(count), "--first", str(first)]
        run.start(f"fleet-{first}", "standin", "fleet", f"127.0.0.1:{21000 + first}", *place, *args)
    where = [[found.pop() for _ in range(3)] for _ in range(entries)]
    for number, one in enumerate(where):
        demo.start_entry(run, f"entry-{number}", platform, one)
    declarations = run.folder / "declarations"
    replicas = instances // 32 * (32 // members)
    write_declarations(declarations, members, replicas)
    demo.wait_for(run, "the platform answers", lambda: demo.get_json(platform, "/v1/list") != {})
    run.run("apply", str(declarations), "--platform", platform)
    last = where[-1][1]
    demo.wait_for(
        run, f"{replicas} groups are complete", lambda: demo.complete_groups(last) == replicas
    )
    time.sleep(WARM_SECONDS)
    return sample(run, where, seconds)


def sample(run: demo.Demo, where: list[list[str]], seconds: float) -> list[Cost]:
    """Measure every entry over the same time."""
    pids = {name: one.pid for name, one in run.processes.items() if name.startswith("entry-")}
    before = {name: processor_seconds(pid) for name, pid in pids.items()}
    started = time.monotonic()
    time.sleep(seconds)
    passed = time.monotonic() - started
    costs = []
    for number, (name, pid) in enumerate(pids.items()):
        used = processor_seconds(pid) - before[name]
        token = demo.get_json(where[number][1], "/status").get("token")
        costs.append(
            Cost(
                name,
                token is not None,
                100 * used / passed,
                resident_mb(pid),
            )
        )
    return costs


def main() -> int:
    """Print a table of costs by size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, nargs="+", default=[64, 128, 256, 448])
    parser.add_argument("--entries", type=int, nargs="+", default=[4])
    parser.add_argument("--members", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    print("| instances | entries | role | core % | memory MB |")
    print("| --- | --- | --- | --- | --- |")
    for instances in args.instances:
        for entries in args.entries:
            costs = measure(instances, entries, args.members, args.seconds)
            print_rows(instances, entries, costs)
    return 0


def print_rows(instances: int, entries: int, costs: list[Cost]) -> None:
    """Print the mean of the entries without the lease, and the holder."""
    for role, chosen in (
        ("entry", [one for one in costs if not one.is_holder]),
        ("holder", [one for one in costs if one.is_holder]),
    ):
        if not chosen:
            continue
        count = len(chosen)
        cells = [
            str(instances),
            str(entries),
            role,
            f"{sum(one.core_percent for one in chosen) / count:.1f}",
            f"{max(one.memory_mb for one in chosen):.0f}",
        ]
        print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    sys.exit(main())
