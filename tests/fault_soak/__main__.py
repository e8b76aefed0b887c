"""Plays many seeds, each in a process of its own."""

from __future__ import annotations

import pathlib
import random
import shutil
import subprocess
import sys
import tempfile

import defopt
import eliot
import trio

from fault_soak import run

SEEDS = pathlib.Path(__file__).parent / "seeds.txt"
SECONDS = 10.0
LIMIT_SECONDS = 90.0


def main(
    *, seed: int | None = None, count: int = 1, jobs: int = 2, seconds: float = SECONDS
) -> int:
    """Play seeds of the fault soak.

    :param seed: the first seed; fresh ones when left out
    :param count: how many to play
    :param jobs: how many at a time
    :param seconds: how long each is disturbed
    """
    if count == 1 and seed is not None:
        return _play_one(seed, seconds)
    rng = random.SystemRandom()
    left = _kept_seeds()
    left += [seed + n if seed is not None else rng.randrange(10**6) for n in range(count)]
    total = len(left)
    failed: list[int] = []
    running: list[tuple[int, subprocess.Popen[bytes]]] = []
    while left or running:
        while left and len(running) < jobs:
            one = left.pop(0)
            command = [sys.executable, "-m", "fault_soak", "--seed", str(one)]
            command += ["--seconds", str(seconds)]
            running.append((one, subprocess.Popen(command)))
        one, process = running.pop(0)
        if process.wait() != 0:
            failed.append(one)
    print(f"{total} seeds played, {len(failed)} broken: {failed}")
    return 1 if failed else 0


def _kept_seeds() -> list[int]:
    """Return the seeds that once broke a promise."""
    lines = SEEDS.read_text().splitlines()
    return [int(one.split()[0]) for one in lines if one and not one.startswith("#")]


def _play_one(seed: int, seconds: float) -> int:
    eliot.add_destinations(lambda found: None)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"galenavane-soak-{seed}-"))
    broken = trio.run(_limit, seed, seconds, folder)
    for one in broken:
        print(f"seed {seed}: {one}")
    if broken:
        print(f"seed {seed}: logs in {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


async def _limit(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    with trio.fail_after(LIMIT_SECONDS):
        return await run.play(seed, seconds, folder)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
