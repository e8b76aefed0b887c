"""Proofs about what callers are told and what targets run."""

from __future__ import annotations

import collections
import signal

import trio

from galenavane.failure import outcome as outcomes
from galenavane.proof import local_deployment, setup
from galenavane.soak import record as records
from galenavane.soak import traffic
from galenavane.standin import link, plain, platform_faults


async def check_own_answer(on: local_deployment.LocalDeployment) -> list[str]:
    """Leaders are killed, and with them streams in the middle."""
    await setup.start_deployment(on)
    told = setup.Callers(on)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(told.traffic.run, 10.0)
        for _ in range(2):
            await trio.sleep(3.0)
            groups = (await on.fetch_table()).groups
            if not groups:
                continue
            name = groups[0].members[0].instance
            on.send_signal(name, signal.SIGKILL)
            await trio.sleep(1.0)
            on.start_engine(name, f"domain-{int(name[-1]) // 3}", False)
    return told.violations


async def _submit_jobs_under_faults(on: local_deployment.LocalDeployment) -> setup.Callers:
    """Send jobs while a target's connections break after it has the request, and is killed."""
    await setup.start_deployment(on)
    for name in ("desk-0", "desk-1"):
        await on.start_relay(name)
    await trio.sleep(2.0)
    told = setup.Callers(on)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(told.traffic.run, 12.0)
        await trio.sleep(2.0)
        await on.set_relay_faults("desk-0", link.Faults(cut_after_bytes=20))
        await trio.sleep(2.0)
        await on.set_relay_faults("desk-0", link.Faults())
        await on.set_target_faults("desk-1", plain.Faults(lose_answers=True))
        await trio.sleep(1.0)
        on.send_signal("entry-0", signal.SIGKILL)
        await trio.sleep(1.0)
        on.start_entry("entry-0")
        await on.set_relay_faults("desk-1", link.Faults(cut=True))
        await trio.sleep(1.0)
        await on.set_target_faults("desk-1", plain.Faults())
        await on.set_relay_faults("desk-1", link.Faults())
        await on.set_platform_faults(platform_faults.Faults(down=True))
        await trio.sleep(2.0)
        await on.set_platform_faults(platform_faults.Faults())
    return told


async def check_not_run_is_true(on: local_deployment.LocalDeployment) -> list[str]:
    """Nothing that a caller was told not to have run is in a ledger."""
    told = await _submit_jobs_under_faults(on)
    ran = {run.request_id for run in traffic.list_job_runs(await on.fetch_ledgers())}
    return [
        f"request {one.request_id} ({one.job}) was told not_run but ran"
        for one in told.records
        if one.outcome == outcomes.Outcome.NOT_RUN and one.request_id in ran
    ]


async def check_at_most_once(on: local_deployment.LocalDeployment) -> list[str]:
    """No job is in the ledgers twice, and every answered one is there."""
    told = await _submit_jobs_under_faults(on)
    counts = collections.Counter(run.job for run in traffic.list_job_runs(await on.fetch_ledgers()))
    broken = [f"{job} ran {count} times" for job, count in counts.items() if count > 1]
    for one in told.records:
        if one.job and one.ending is records.Ending.WHOLE and not counts[one.job]:
            broken.append(f"{one.job} was answered but is in no ledger")
    return broken
