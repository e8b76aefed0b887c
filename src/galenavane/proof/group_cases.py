"""Proofs about groups: complete, and no instance in two of them."""

from __future__ import annotations

import collections
import signal
import time

import trio

from galenavane.control import completeness
from galenavane.proof import local_deployment, setup
from galenavane.standin import platform_faults

ROUTING_MARGIN_SECONDS = 0.7


async def check_complete_group(on: local_deployment.LocalDeployment) -> list[str]:
    """A member is paused while the platform is down, so that no new table can help."""
    await setup.start_deployment(on)
    told = setup.Callers(on)
    broken: list[str] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(told.traffic.run, 12.0)
        await trio.sleep(1.0)
        group = (await on.fetch_table()).groups[0]
        await on.set_platform_faults(platform_faults.Faults(down=True))
        on.send_signal(group.members[1].instance, signal.SIGSTOP)
        paused_at = time.time()
        await trio.sleep(8.0)
        resumed_at = time.time()
        on.send_signal(group.members[1].instance, signal.SIGCONT)
        await on.set_platform_faults(platform_faults.Faults())
    first = paused_at + completeness.MAX_REPORT_AGE_SECONDS + ROUTING_MARGIN_SECONDS
    for name in setup.ENTRIES:
        for event in on.read_events(name):
            if event["message_type"] != "request.send" or event.get("group") != group.name:
                continue
            if event["epoch"] == group.epoch and first < event["timestamp"] < resumed_at:
                late = event["timestamp"] - paused_at
                broken.append(f"{name} sent to {group.name} {late:.1f} s after a member paused")
    return broken


async def check_one_group(on: local_deployment.LocalDeployment) -> list[str]:
    """Members die and the paused lease holder wakes up; targets ignore fencing tokens."""
    await setup.start_deployment(on, ignores_tokens=True)
    broken: list[str] = []
    with trio.move_on_after(25.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_tables, on, broken)
            holder = await _find_lease_holder(on)
            member = (await on.fetch_table()).groups[0].members[1].instance
            on.send_signal(member, signal.SIGKILL)
            await trio.sleep(1.0)
            on.send_signal(holder, signal.SIGSTOP)
            await trio.sleep(12.0)
            on.start_engine(member, f"domain-{int(member[-1]) // 3}", True)
            on.send_signal(holder, signal.SIGCONT)
            await trio.sleep(10.0)
            nursery.cancel_scope.cancel()
    return broken


async def _find_lease_holder(on: local_deployment.LocalDeployment) -> str:
    while True:
        for name in setup.ENTRIES:
            found = await on.fetch_status(name)
            if found and found.token is not None:
                return name
        await trio.sleep(local_deployment.POLL_INTERVAL_SECONDS)


async def _watch_tables(on: local_deployment.LocalDeployment, broken: list[str]) -> None:
    while True:
        current = await on.fetch_table()
        names = [member.instance for group in current.groups for member in group.members]
        for name, count in collections.Counter(names).items():
            if count > 1:
                broken.append(f"the table has {name} in {count} groups")
        await trio.sleep(local_deployment.POLL_INTERVAL_SECONDS)
