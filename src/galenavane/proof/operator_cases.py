"""Tests of operator actions: leaving targets, planned stops and configuration changes."""

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


async def check_leaving_gets_nothing(deployment: local_deployment.LocalDeployment) -> list[str]:
    """List a plain target as leaving while it keeps answering requests."""
    await setup.start_deployment(deployment)
    callers = setup.Callers(deployment)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.traffic.run, 12.0)
        await trio.sleep(2.0)
        leaving_at = time.time()
        await deployment.register_instance(
            instance.Instance(
                "desk-0",
                str(deployment.process_addresses["desk-0"]),
                local_deployment.DATA_CENTRE,
                instance.Kind.PLAIN,
                service=topology.PLAIN_SERVICE,
                state=instance.State.LEAVING,
            )
        )
    return [
        f"{name} sent to desk-0 {event['timestamp'] - leaving_at:.1f} s after it was leaving"
        for name in setup.ENTRIES
        for event in deployment.read_events(name)
        if event["message_type"] == "request.send"
        and event.get("instance") == "desk-0"
        and event["timestamp"] > leaving_at + LEAVING_LIMIT_SECONDS
    ]


async def check_planned_stop(deployment: local_deployment.LocalDeployment) -> list[str]:
    """Stop entries and switch to the maintenance preset and back, with streams in flight."""
    await setup.start_deployment(deployment)
    callers = setup.Callers(deployment)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.traffic.run, 14.0)
        for name in ("entry-0", "entry-1"):
            await trio.sleep(2.0)
            deployment.send_signal(name, signal.SIGTERM)
            with trio.move_on_after(30.0):
                while deployment.processes[name].poll() is None:
                    await trio.sleep(local_deployment.POLL_INTERVAL_SECONDS)
            deployment.start_entry(name)
            await trio.sleep(1.0)
        await deployment.run_command(
            "preset", "maintenance", "--platform", str(deployment.platform_address)
        )
        await trio.sleep(2.0)
        await deployment.run_command(
            "preset", "ordinary", "--platform", str(deployment.platform_address)
        )
    return [
        f"a request at {record.entry} (job {record.job!r}) ended {record.ending.value}"
        for record in callers.records
        if record.ending in (records.Ending.BROKEN, records.Ending.TIMEOUT)
    ]


async def check_configuration(deployment: local_deployment.LocalDeployment) -> list[str]:
    """Run two operators at once on a slow platform, then restart an entry during an outage."""
    await setup.start_deployment(deployment)
    violations: list[str] = []
    accepted: list[str] = []

    async def switch(preset: str) -> None:
        completed = await deployment.run_command(
            "preset", preset, "--platform", str(deployment.platform_address)
        )
        for line in completed.stdout.decode().splitlines():
            if line.startswith("accepted:"):
                accepted.append(line.split("generation ")[1].split(",")[0])

    # With a slow platform, each operator reads the head before the other has written it.
    await deployment.set_platform_faults(platform_faults.Faults(slow_seconds=0.5))
    for _ in range(3):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(switch, "renewed")
            nursery.start_soon(switch, "maintenance")
    await deployment.set_platform_faults(platform_faults.Faults())
    await switch("ordinary")
    for generation, count in collections.Counter(accepted).items():
        if count > 1:
            violations.append(f"generation {generation} was accepted {count} times")
    last_accepted = max(int(generation) for generation in accepted)
    await trio.sleep(IN_FORCE_LIMIT_SECONDS)
    await deployment.set_platform_faults(platform_faults.Faults(down=True))
    deployment.send_signal("entry-0", signal.SIGKILL)
    await trio.sleep(0.5)
    deployment.start_entry("entry-0")
    await trio.sleep(IN_FORCE_LIMIT_SECONDS)
    for name in setup.ENTRIES:
        status = await deployment.fetch_status(name)
        if status is None or status.generation < last_accepted:
            shown_generation = status.generation if status else "none"
            violations.append(
                f"{name} has generation {shown_generation}, expected at least {last_accepted}"
            )
    return violations
