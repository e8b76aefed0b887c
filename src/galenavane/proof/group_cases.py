"""Proofs about groups: complete, and no instance in two of them."""

from __future__ import annotations

import collections
import signal
import time

import trio

from galenavane.control import completeness
from galenavane.proof import callers, stage
from galenavane.standin import platform_faults

MARGIN_SECONDS = 0.7


async def complete_group(on: stage.Stage) -> list[str]:
    """A member is paused while the platform is down, so that no new table can help."""
    await callers.begin(on)
    told = callers.Callers(on)
    broken: list[str] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(told.traffic.run, 12.0)
        await trio.sleep(1.0)
        group = (await on.read_table()).groups[0]
        await on.disturb_platform(platform_faults.Faults(down=True))
        on.send_signal(group.members[1].instance, signal.SIGSTOP)
        paused_at = time.time()
        await trio.sleep(8.0)
        resumed_at = time.time()
        on.send_signal(group.members[1].instance, signal.SIGCONT)
        await on.disturb_platform(platform_faults.Faults())
    first = paused_at + completeness.MAX_REPORT_AGE_SECONDS + MARGIN_SECONDS
    for name in callers.ENTRIES:
        for event in on.read_events(name):
            if event["message_type"] != "request.send" or event.get("group") != group.name:
                continue
            if event["epoch"] == group.epoch and first < event["timestamp"] < resumed_at:
                late = event["timestamp"] - paused_at
                broken.append(f"{name} sent to {group.name} {late:.1f} s after a member paused")
    return broken


async def one_group(on: stage.Stage) -> list[str]:
    """Members die and the paused lease holder wakes up; targets ignore fencing tokens."""
    await callers.begin(on, ignores_tokens=True)
    broken: list[str] = []
    with trio.move_on_after(25.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_tables, on, broken)
            holder = await _find_holder(on)
            member = (await on.read_table()).groups[0].members[1].instance
            on.send_signal(member, signal.SIGKILL)
            await trio.sleep(1.0)
            on.send_signal(holder, signal.SIGSTOP)
            await trio.sleep(12.0)
            on.start_engine(member, f"domain-{int(member[-1]) // 3}", True)
            on.send_signal(holder, signal.SIGCONT)
            await trio.sleep(10.0)
            nursery.cancel_scope.cancel()
    return broken


async def _find_holder(on: stage.Stage) -> str:
    while True:
        for name in callers.ENTRIES:
            found = await on.status(name)
            if found and found.token is not None:
                return name
        await trio.sleep(stage.POLL_SECONDS)


async def _watch_tables(on: stage.Stage, broken: list[str]) -> None:
    while True:
        current = await on.read_table()
        names = [member.instance for group in current.groups for member in group.members]
        for name, count in collections.Counter(names).items():
            if count > 1:
                broken.append(f"the table has {name} in {count} groups")
        await trio.sleep(stage.POLL_SECONDS)
