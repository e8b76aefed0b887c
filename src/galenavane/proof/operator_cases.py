"""Proofs about what operators do: leaving targets, planned stops, configurations."""

from __future__ import annotations

import collections
import signal
import time

import trio

from galenavane.proof import local_deployment, setup
from galenavane.soak import record as records
from galenavane.soak import topology
from galenavane.standin import platform_faults
from galenavane.store import instance

LEAVING_LIMIT_SECONDS = 5.0
IN_FORCE_LIMIT_SECONDS = 6.0


async def check_leaving_gets_nothing(on: local_deployment.LocalDeployment) -> list[str]:
    """The platform says that a plain target is leaving; the target goes on answering."""
    await setup.start_deployment(on)
    told = setup.Callers(on)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(told.traffic.run, 12.0)
        await trio.sleep(2.0)
        leaving_at = time.time()
        await on.register_instance(
            instance.Instance(
                "desk-0",
                str(on.process_addresses["desk-0"]),
                local_deployment.DATA_CENTRE,
                instance.Kind.PLAIN,
                service=topology.PLAIN_SERVICE,
                state=instance.State.LEAVING,
            )
        )
    return [
        f"{name} sent to desk-0 {event['timestamp'] - leaving_at:.1f} s after it was leaving"
        for name in setup.ENTRIES
        for event in on.read_events(name)
        if event["message_type"] == "request.send"
        and event.get("instance") == "desk-0"
        and event["timestamp"] > leaving_at + LEAVING_LIMIT_SECONDS
    ]


async def check_planned_stop(on: local_deployment.LocalDeployment) -> list[str]:
    """Entries are stopped and a maintenance preset comes and goes, with streams in flight."""
    await setup.start_deployment(on)
    told = setup.Callers(on)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(told.traffic.run, 14.0)
        for name in ("entry-0", "entry-1"):
            await trio.sleep(2.0)
            on.send_signal(name, signal.SIGTERM)
            with trio.move_on_after(30.0):
                while on.processes[name].poll() is None:
                    await trio.sleep(local_deployment.POLL_INTERVAL_SECONDS)
            on.start_entry(name)
            await trio.sleep(1.0)
        await on.run_command("preset", "maintenance", "--platform", str(on.platform_address))
        await trio.sleep(2.0)
        await on.run_command("preset", "ordinary", "--platform", str(on.platform_address))
    return [
        f"a request at {one.entry} (job {one.job!r}) ended {one.ending.value}"
        for one in told.records
        if one.ending in (records.Ending.BROKEN, records.Ending.TIMEOUT)
    ]


async def check_configuration(on: local_deployment.LocalDeployment) -> list[str]:
    """Two operators at once, answers lost, an entry restarted during an outage."""
    await setup.start_deployment(on)
    broken: list[str] = []
    accepted: list[str] = []

    async def switch(preset: str) -> None:
        answer = await on.run_command("preset", preset, "--platform", str(on.platform_address))
        for line in answer.stdout.decode().splitlines():
            if line.startswith("accepted:"):
                accepted.append(line.split("generation ")[1].split(",")[0])

    # A slow platform keeps both operators between their read and their write.
    await on.set_platform_faults(platform_faults.Faults(slow_seconds=0.5))
    for _ in range(3):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(switch, "renewed")
            nursery.start_soon(switch, "maintenance")
    await on.set_platform_faults(platform_faults.Faults())
    await switch("ordinary")
    for generation, count in collections.Counter(accepted).items():
        if count > 1:
            broken.append(f"generation {generation} was accepted {count} times")
    last = max(int(one) for one in accepted)
    await trio.sleep(IN_FORCE_LIMIT_SECONDS)
    await on.set_platform_faults(platform_faults.Faults(down=True))
    on.send_signal("entry-0", signal.SIGKILL)
    await trio.sleep(0.5)
    on.start_entry("entry-0")
    await trio.sleep(IN_FORCE_LIMIT_SECONDS)
    for name in setup.ENTRIES:
        found = await on.fetch_status(name)
        if found is None or found.generation < last:
            seen = found.generation if found else "none"
            broken.append(f"{name} has generation {seen}, accepted was {last}")
    return broken
