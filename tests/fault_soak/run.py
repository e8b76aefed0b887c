"""Runs one seed and checks the guarantees."""

from __future__ import annotations

import pathlib
import random
import signal

import trio

from fault_soak import callers, checks, fleet, injector, plan

DOMAIN_COUNT = 3
TARGETS_PER_DOMAIN = 7
ENTRY_DATA_CENTRES = ("dc", "dc", "dc2", "dc2")
CALLER_COUNT = 6
PLANNED_CALLER_COUNT = 12
PLANNED_LONGEST_STREAM = 100
PLANNED_KEEP_ALIVE_PROBABILITY = 0.95
"""Callers use open connections until the process is gone."""
START_TIMEOUT_SECONDS = 20.0
RECOVERY_TIMEOUT_SECONDS = 10.0
"""Time after the last fault within which every entry serves again.

Forming a group takes at most the time of one model load.
"""
PROBE_INTERVAL_SECONDS = 0.3
CONFIG_SPREAD_SECONDS = 0.5


async def _wait_ready(world, seconds):
    """Wait until each entry serves every kind of request.

    :returns: a violation for each entry that does not.
    """
    unready = {entry.name: "" for entry in world.entries}
    with trio.move_on_after(seconds):
        while unready:
            for entry in [entry for entry in world.entries if entry.name in unready]:
                status = await callers.fetch_status(entry.readiness_address, "/readyz")
                newest_route_status = await callers.fetch_status(
                    entry.caller_address, f"/v{world.version}/x"
                )
                unready[entry.name] = f"readiness {status}, newest route {newest_route_status}"
                if status == 200 and newest_route_status == 200 and len(world.serving()) >= 2:
                    del unready[entry.name]
            await trio.sleep(0.1)
    return [
        f"{name} does not serve {seconds:g} s after the start or the last fault: {text}"
        for name, text in unready.items()
    ]


async def _probe_versions(world, versions_by_entry):
    """Record which configuration is in force at each entry, by the newest route that it serves."""
    while True:
        await trio.sleep(PROBE_INTERVAL_SECONDS)
        for entry in world.entries:
            entry_run = f"{entry.name}/{entry.start_count}"
            newest = world.version
            for version in range(newest, max(0, newest - 4), -1):
                if await callers.fetch_status(entry.caller_address, f"/v{version}/x", 0.3) == 200:
                    if entry_run == f"{entry.name}/{entry.start_count}":
                        versions_by_entry.setdefault(entry_run, []).append(version)
                    break


async def _check_recovered(world, rng, sent):
    """Wait until the entries serve after all faults, then send them requests of each kind."""
    violations = await _wait_ready(world, RECOVERY_TIMEOUT_SECONDS)
    await trio.sleep(CONFIG_SPREAD_SECONDS)
    probes = []
    for entry in world.entries:
        caller = callers.Caller(rng, [entry], probes, [world.keys[0]])
        await caller.run(trio.current_time() + 0.8)
    sent += probes
    completed = [
        probe
        for probe in probes
        if probe.note == "left" or (probe.status == 200 and probe.is_complete)
    ]
    if len(completed) < 0.9 * len(probes):
        texts = [
            f"{probe.kind} {probe.attempt}@{probe.entry_run}: {probe.status} {probe.note}"
            for probe in probes
            if probe not in completed
        ]
        violations.append(
            f"{len(texts)} of {len(probes)} requests failed after recovery: {texts[:4]}"
        )
    return violations


async def run_seed(
    seed: int, seconds: float, folder: pathlib.Path, plan_name: str = "faults"
) -> list[str]:
    """Run one seed and return the violations.

    :param seconds: time for which faults are injected.
    :param folder: folder for settings, logs and records.
    :param plan_name: name of what may happen.
    """
    rng = random.Random(seed)
    faults = plan.draw_faults(seed, seconds, plan_name)
    is_planned = plan.PLANS[plan_name].is_planned
    fault_log: list[str] = []
    sent: list = []
    versions_by_entry: dict[str, list[int]] = {}
    violations: list[str] = []
    async with trio.open_nursery() as nursery:
        world = fleet.Fleet(nursery, folder, has_second_service=is_planned)
        try:
            await world.start(DOMAIN_COUNT, TARGETS_PER_DOMAIN, ENTRY_DATA_CENTRES)
            violations += await _wait_ready(world, START_TIMEOUT_SECONDS)
            probe_scope = trio.CancelScope()
            nursery.start_soon(_probe_until, probe_scope, world, versions_by_entry)
            ends_at = trio.current_time() + seconds + 1.0
            async with trio.open_nursery() as traffic_nursery:
                for _ in range(PLANNED_CALLER_COUNT if is_planned else CALLER_COUNT):
                    new_caller = callers.Caller(
                        random.Random(rng.random()), world.entries, sent, world.keys
                    )
                    if is_planned:
                        new_caller.kinds = ("stream", "once", "order", "status")
                        new_caller.longest_stream = PLANNED_LONGEST_STREAM
                        new_caller.keep_alive_probability = PLANNED_KEEP_ALIVE_PROBABILITY
                    traffic_nursery.start_soon(new_caller.run, ends_at)
                fault_injector = injector.Injector(world, fault_log, waits_for_work=is_planned)
                await fault_injector.run(faults)
            probe_scope.cancel()
            violations += await _check_recovered(world, rng, sent)
            for entry in world.entries:
                if entry.has_exited_unexpectedly():
                    violations.append(f"{entry.name} exited unexpectedly")
        finally:
            for entry in world.entries:
                entry.send_signal(signal.SIGCONT)
                entry.kill()
            nursery.cancel_scope.cancel()
    violations += checks.check_streams(sent)
    violations += checks.check_at_most_once(sent, world.ledger)
    violations += checks.check_not_run(sent, world.ledger)
    violations += checks.check_revoked(sent, world.ledger, world.revoked_at)
    violations += checks.check_leaving(world.ledger, world.departures)
    reached = world.ledger + world.turned_away
    violations += checks.check_left_alone(sent, reached, world.notices)
    violations += checks.check_versions(versions_by_entry)
    violations += checks.check_joins(world.taken_targets)
    if is_planned:
        timeout_seconds = min(world.shortest_timeout_seconds, callers.DEADLINE_SECONDS)
        violations += checks.check_answered(
            sent, world.ledger, world.stopped_at, world.departures, timeout_seconds
        )
    (folder / "notices.txt").write_text("\n".join(str(notice) for notice in world.notices))
    (folder / "faults.txt").write_text("\n".join(fault_log))
    (folder / "broken.txt").write_text("\n".join(violations))
    (folder / "sent.txt").write_text("\n".join(str(request) for request in sent))
    (folder / "ledger.txt").write_text("\n".join(str(arrival) for arrival in world.ledger))
    completed = sum(request.status == 200 and request.is_complete for request in sent)
    print(
        f"seed {seed}: {len(faults)} faults, {len(sent)} requests, {completed} complete, "
        f"{len(violations)} violations"
    )
    return violations


async def _probe_until(scope, world, versions_by_entry):
    with scope:
        await _probe_versions(world, versions_by_entry)
