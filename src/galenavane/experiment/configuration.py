"""Measures the time from acceptance to in force on 6 real entries, and their start.

Run ``python -m galenavane.experiment.configuration [CHANGES]``.
"""

from __future__ import annotations

import pathlib
import random
import sys
import time

import trio

from galenavane.config import accept, declaration, declaration_files
from galenavane.experiment import entry_processes
from galenavane.standin import platform_faults

DATA_CENTRES = ("makole", "kikuyu", "chamwino")
EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples" / "dodoma"
SETTLE_SECONDS = 8.0
LAST_SECONDS = 8.0
MAX_PAUSE_SECONDS = 2.0

CASES: dict[str, tuple[platform_faults.Faults, set[str]]] = {
    "all well": (platform_faults.Faults(), set()),
    "platform slow, 0.5 s a call": (platform_faults.Faults(slow_seconds=0.5), set()),
    "one data centre cut from the platform": (platform_faults.Faults(), {"makole"}),
    "watches silent": (platform_faults.Faults(silent_watch=True), set()),
}


def main() -> None:
    """Print a table of all cases."""
    changes = int(sys.argv[1]) if len(sys.argv) > 1 else 40
    print("| case | changes | p50 s | p99 s | worst s | not in force | from peers |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, (faults, dead) in CASES.items():
        print(trio.run(_measure, name, faults, dead, changes), flush=True)
    print(trio.run(_measure_start))


async def _measure(name: str, faults: platform_faults.Faults, dead: set[str], changes: int) -> str:
    made = entry_processes.Processes()
    made.dead = dead
    try:
        await _start(made)
        await made.set_faults(faults)
        accepted = await _accept_all(made, changes)
        await trio.sleep(LAST_SECONDS)
    finally:
        made.stop()
    return _summarise(name, made, accepted)


async def _start(made: entry_processes.Processes) -> None:
    await made.start_platform()
    await accept_preset(made, "ordinary")
    for number in range(6):
        made.add(f"entry-{number}", DATA_CENTRES[number // 2])
    for entry in made.entries:
        made.start(entry)
    for entry in made.entries:
        await entry_processes.wait_answer(entry.callers, "/readyz")
    await trio.sleep(SETTLE_SECONDS)


async def accept_preset(made: entry_processes.Processes, preset: str) -> int:
    """Accept the example declarations with a preset; return the generation."""
    declared: declaration.Declarations = declaration_files.read_folder(EXAMPLES)
    current = await accept.read_current(made.platform())
    accepted = await accept.accept(made.platform(), current.ok, declared, preset)
    return accepted.ok.generation


async def _accept_all(made: entry_processes.Processes, changes: int) -> dict[int, float]:
    """Switch presets at random times; return when each generation was accepted."""
    rng = random.Random(1)
    accepted = {}
    for number in range(changes):
        generation = await accept_preset(made, ("maintenance", "ordinary")[number % 2])
        accepted[generation] = time.time()
        await trio.sleep(rng.uniform(0, MAX_PAUSE_SECONDS))
    return accepted


def _summarise(name: str, made: entry_processes.Processes, accepted: dict[int, float]) -> str:
    """Return a row; a generation counts as in force when it or a later one is."""
    delays, missing, by_peer = [], 0, 0
    for entry in made.entries:
        taken = entry_processes.events(entry, "config.in_force")
        by_peer += sum(one["by"] == "peer" for one in taken)
        for generation, at in accepted.items():
            found = [one["timestamp"] for one in taken if one["generation"] >= generation]
            if found:
                delays.append(max(0.0, min(found) - at))
            else:
                missing += 1
    delays.sort()
    middle, high = delays[len(delays) // 2], delays[int(len(delays) * 0.99)]
    return (
        f"| {name} | {len(accepted)} | {middle:.2f} | {high:.2f} | {delays[-1]:.2f} "
        f"| {missing} | {by_peer} |"
    )


async def _measure_start() -> str:
    """Replace an entry, with the platform and without it; return how soon it is ready."""
    made = entry_processes.Processes()
    try:
        await _start(made)
        rows = []
        for is_down in (False, True):
            await made.set_faults(platform_faults.Faults(down=is_down))
            entry = made.entries[0]
            assert entry.process is not None
            entry.process.kill()
            entry.process.wait()
            made.start(entry)
            seconds = await entry_processes.wait_answer(entry.callers, "/readyz")
            word = "down" if is_down else "up"
            rows.append(f"ready after a kill, platform {word}: {seconds:.2f} s")
        await made.set_faults(platform_faults.Faults())
        await trio.sleep(SETTLE_SECONDS)
        process = made.entries[1].process
        assert process is not None
        began = time.monotonic()
        process.terminate()
        code = await trio.to_thread.run_sync(process.wait)
        rows.append(f"SIGTERM to exit {code} when idle: {time.monotonic() - began:.2f} s")
    finally:
        made.stop()
    return "\n".join(rows)


if __name__ == "__main__":
    main()
