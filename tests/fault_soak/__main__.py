"""Runs many seeds, each in its own process."""

from __future__ import annotations

import pathlib
import random
import shutil
import subprocess
import sys
import tempfile
import typing

import defopt
import eliot
import trio

from fault_soak import run

SEEDS_PATHS = {
    "faults": pathlib.Path(__file__).parent / "seeds.txt",
    "notices": pathlib.Path(__file__).parent / "notices_seeds.txt",
    "planned": pathlib.Path(__file__).parent / "planned_seeds.txt",
}
DEFAULT_FAULT_SECONDS = 10.0
TIMEOUT_SECONDS = 90.0


def main(
    *,
    seed: int | None = None,
    count: int = 1,
    jobs: int = 2,
    seconds: float = DEFAULT_FAULT_SECONDS,
    plan: typing.Literal["faults", "notices", "planned"] = "faults",
) -> int:
    """Run seeds of the fault soak; with a count of 1 and a seed, run it in this process.

    Otherwise the kept seeds run first.

    :param seed: first seed; random seeds by default
    :param count: number of seeds to run in addition to the kept ones
    :param jobs: number of seeds to run at a time
    :param seconds: time for which faults are injected for each seed
    :param plan: faults; notices of targets that leave or ask to be left alone among them; or only
        planned work and targets that pause, which excuse no lost answer
    """
    if count == 1 and seed is not None:
        return _run_one(seed, seconds, plan)
    rng = random.SystemRandom()
    remaining_seeds = _read_kept_seeds(plan)
    remaining_seeds += [
        seed + n if seed is not None else rng.randrange(10**6) for n in range(count)
    ]
    total = len(remaining_seeds)
    failed_seeds: list[int] = []
    running: list[tuple[int, subprocess.Popen[bytes]]] = []
    while remaining_seeds or running:
        while remaining_seeds and len(running) < jobs:
            next_seed = remaining_seeds.pop(0)
            command = [sys.executable, "-m", "fault_soak", "--seed", str(next_seed)]
            command += ["--seconds", str(seconds), "--plan", plan]
            running.append((next_seed, subprocess.Popen(command)))
        next_seed, process = running.pop(0)
        if process.wait() != 0:
            failed_seeds.append(next_seed)
    print(f"{total} seeds run, {len(failed_seeds)} failed: {failed_seeds}")
    return 1 if failed_seeds else 0


def _read_kept_seeds(plan: str) -> list[int]:
    """Return the seeds that once violated a guarantee."""
    lines = SEEDS_PATHS[plan].read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def _run_one(seed: int, seconds: float, plan: str) -> int:
    eliot.add_destinations(lambda logged_message: None)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"galenavane-soak-{seed}-"))
    violations = trio.run(_run_with_timeout, seed, seconds, folder, plan)
    for violation in violations:
        print(f"seed {seed}: {violation}")
    if violations:
        print(f"seed {seed}: logs in {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


async def _run_with_timeout(
    seed: int, seconds: float, folder: pathlib.Path, plan: str
) -> list[str]:
    with trio.fail_after(TIMEOUT_SECONDS):
        return await run.run_seed(seed, seconds, folder, plan)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
