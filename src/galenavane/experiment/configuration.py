"""Measures how soon accepted configurations are in force on 6 entries, and entry starts.

The entries are real processes, not simulated ones.
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
FINAL_WAIT_SECONDS = 8.0
"""Time for entries to put the last change in force."""
MAX_INTERVAL_SECONDS = 2.0
"""Upper limit of the random pause after each change."""

CASES: dict[str, tuple[platform_faults.Faults, set[str]]] = {
    "all well": (platform_faults.Faults(), set()),
    "platform slow, 0.5 s a call": (platform_faults.Faults(slow_seconds=0.5), set()),
    "one data centre cut from the platform": (platform_faults.Faults(), {"makole"}),
    "watches silent": (platform_faults.Faults(silent_watch=True), set()),
}


def main() -> None:
    """Print a table of the cases and the times of starting and stopping an entry."""
    change_count = int(sys.argv[1]) if len(sys.argv) > 1 else 40
    print("| case | changes | p50 s | p99 s | worst s | not in force | from peers |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, (faults, isolated_data_centres) in CASES.items():
        print(trio.run(_measure, name, faults, isolated_data_centres, change_count), flush=True)
    print(trio.run(_measure_start))


async def _measure(
    name: str, faults: platform_faults.Faults, isolated_data_centres: set[str], change_count: int
) -> str:
    deployment = entry_processes.Deployment()
    deployment.isolated_data_centres = isolated_data_centres
    try:
        await _start_deployment(deployment)
        await deployment.set_faults(faults)
        accepted = await _accept_changes(deployment, change_count)
        await trio.sleep(FINAL_WAIT_SECONDS)
    finally:
        deployment.stop()
    return _format_row(name, deployment, accepted)


async def _start_deployment(deployment: entry_processes.Deployment) -> None:
    await deployment.start_platform()
    await accept_preset(deployment, "ordinary")
    for number in range(6):
        deployment.add_entry(f"entry-{number}", DATA_CENTRES[number // 2])
    for entry in deployment.entries:
        deployment.start_entry(entry)
    for entry in deployment.entries:
        await entry_processes.wait_until_ready(entry.caller_address, "/readyz")
    await trio.sleep(SETTLE_SECONDS)


async def accept_preset(deployment: entry_processes.Deployment, preset: str) -> int:
    """Accept the example declarations with a preset and return the new generation."""
    declared: declaration.Declarations = declaration_files.read_folder(EXAMPLES)
    current = await accept.read_current(deployment.make_platform_client())
    accepted = await accept.accept(deployment.make_platform_client(), current.ok, declared, preset)
    return accepted.ok.generation


async def _accept_changes(
    deployment: entry_processes.Deployment, change_count: int
) -> dict[int, float]:
    """Switch presets at random intervals; return the Unix time of each accepted generation."""
    rng = random.Random(1)
    accepted = {}
    for number in range(change_count):
        generation = await accept_preset(deployment, ("maintenance", "ordinary")[number % 2])
        accepted[generation] = time.time()
        await trio.sleep(rng.uniform(0, MAX_INTERVAL_SECONDS))
    return accepted


def _format_row(
    name: str, deployment: entry_processes.Deployment, accepted: dict[int, float]
) -> str:
    """Return a row of the table.

    A generation counts as in force on an entry once it or a later one is in force there.
    """
    delays, missing_count, from_peers = [], 0, 0
    for entry in deployment.entries:
        in_force_events = entry_processes.read_events(entry, "config.in_force")
        from_peers += sum(event["by"] == "peer" for event in in_force_events)
        for generation, accepted_at in accepted.items():
            in_force_times = [
                event["timestamp"] for event in in_force_events if event["generation"] >= generation
            ]
            if in_force_times:
                delays.append(max(0.0, min(in_force_times) - accepted_at))
            else:
                missing_count += 1
    delays.sort()
    median, p99 = delays[len(delays) // 2], delays[int(len(delays) * 0.99)]
    return (
        f"| {name} | {len(accepted)} | {median:.2f} | {p99:.2f} | {delays[-1]:.2f} "
        f"| {missing_count} | {from_peers} |"
    )


async def _measure_start() -> str:
    """Measure how long a killed entry takes to be ready again and an idle one to stop.

    The entry is started once with the platform up and once with it down.
    """
    deployment = entry_processes.Deployment()
    try:
        await _start_deployment(deployment)
        rows = []
        for is_down in (False, True):
            await deployment.set_faults(platform_faults.Faults(down=is_down))
            entry = deployment.entries[0]
            assert entry.process is not None
            entry.process.kill()
            entry.process.wait()
            deployment.start_entry(entry)
            seconds = await entry_processes.wait_until_ready(entry.caller_address, "/readyz")
            platform_state = "down" if is_down else "up"
            rows.append(f"ready after a kill, platform {platform_state}: {seconds:.2f} s")
        await deployment.set_faults(platform_faults.Faults())
        await trio.sleep(SETTLE_SECONDS)
        process = deployment.entries[1].process
        assert process is not None
        started_at = time.monotonic()
        process.terminate()
        exit_code = await trio.to_thread.run_sync(process.wait)
        rows.append(f"SIGTERM to exit {exit_code} when idle: {time.monotonic() - started_at:.2f} s")
    finally:
        deployment.stop()
    return "\n".join(rows)


if __name__ == "__main__":
    main()
