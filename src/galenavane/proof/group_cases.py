"""Tests that groups are complete and that no instance is in two groups."""

from __future__ import annotations

import collections
import signal
import time

import trio

from galenavane.control import completeness
from galenavane.proof import local_deployment, setup
from galenavane.standin import platform_faults

ROUTING_MARGIN_SECONDS = 0.7


async def check_complete_group(deployment: local_deployment.LocalDeployment) -> list[str]:
    """Pause a member while the platform is down, so that entries get no new assignment table."""
    await setup.start_deployment(deployment)
    callers = setup.Callers(deployment)
    violations: list[str] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.traffic.run, 12.0)
        await trio.sleep(1.0)
        group = (await deployment.fetch_table()).groups[0]
        await deployment.set_platform_faults(platform_faults.Faults(down=True))
        deployment.send_signal(group.members[1].instance, signal.SIGSTOP)
        paused_at = time.time()
        await trio.sleep(8.0)
        resumed_at = time.time()
        deployment.send_signal(group.members[1].instance, signal.SIGCONT)
        await deployment.set_platform_faults(platform_faults.Faults())
    unroutable_at = paused_at + completeness.MAX_REPORT_AGE_SECONDS + ROUTING_MARGIN_SECONDS
    for name in setup.ENTRIES:
        for event in deployment.read_events(name):
            if event["message_type"] != "request.send" or event.get("group") != group.name:
                continue
            if event["epoch"] == group.epoch and unroutable_at < event["timestamp"] < resumed_at:
                late_seconds = event["timestamp"] - paused_at
                violations.append(
                    f"{name} sent to {group.name} {late_seconds:.1f} s after a member paused"
                )
    return violations


async def check_one_group(deployment: local_deployment.LocalDeployment) -> list[str]:
    """Kill a member and pause and resume the lease holder; targets ignore fencing tokens."""
    await setup.start_deployment(deployment, ignores_tokens=True)
    violations: list[str] = []
    with trio.move_on_after(25.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_tables, deployment, violations)
            holder = await _find_lease_holder(deployment)
            member = (await deployment.fetch_table()).groups[0].members[1].instance
            deployment.send_signal(member, signal.SIGKILL)
            await trio.sleep(1.0)
            deployment.send_signal(holder, signal.SIGSTOP)
            await trio.sleep(12.0)
            deployment.start_engine(member, f"domain-{int(member[-1]) // 3}", True)
            deployment.send_signal(holder, signal.SIGCONT)
            await trio.sleep(10.0)
            nursery.cancel_scope.cancel()
    return violations


async def _find_lease_holder(deployment: local_deployment.LocalDeployment) -> str:
    while True:
        for name in setup.ENTRIES:
            status = await deployment.fetch_status(name)
            if status and status.token is not None:
                return name
        await trio.sleep(local_deployment.POLL_INTERVAL_SECONDS)


async def _watch_tables(
    deployment: local_deployment.LocalDeployment, violations: list[str]
) -> None:
    while True:
        assignments = await deployment.fetch_table()
        names = [member.instance for group in assignments.groups for member in group.members]
        for name, count in collections.Counter(names).items():
            if count > 1:
                violations.append(f"the table has {name} in {count} groups")
        await trio.sleep(local_deployment.POLL_INTERVAL_SECONDS)
