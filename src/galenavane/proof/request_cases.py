"""Tests of the responses to callers and of what targets run."""

from __future__ import annotations

import collections
import signal

import trio

from galenavane.failure import outcome as outcomes
from galenavane.proof import local_deployment, setup
from galenavane.soak import record as records
from galenavane.soak import traffic
from galenavane.standin import plain_service, platform_faults, tcp_proxy


async def check_own_answer(deployment: local_deployment.LocalDeployment) -> list[str]:
    """Kill leaders while they serve streams."""
    await setup.start_deployment(deployment)
    callers = setup.Callers(deployment)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.traffic.run, 10.0)
        for _ in range(2):
            await trio.sleep(3.0)
            groups = (await deployment.fetch_table()).groups
            if not groups:
                continue
            name = groups[0].members[0].instance
            deployment.send_signal(name, signal.SIGKILL)
            await trio.sleep(1.0)
            deployment.start_engine(name, f"domain-{int(name[-1]) // 3}", False)
    return callers.violations


async def _submit_jobs_under_faults(deployment: local_deployment.LocalDeployment) -> setup.Callers:
    """Send jobs while connections to targets break, an entry is killed and the platform is down.

    Connections break after the target has received the request.
    """
    await setup.start_deployment(deployment)
    for name in ("desk-0", "desk-1"):
        await deployment.start_proxy(name)
    await trio.sleep(2.0)
    callers = setup.Callers(deployment)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.traffic.run, 12.0)
        await trio.sleep(2.0)
        await deployment.set_proxy_faults("desk-0", tcp_proxy.Faults(cut_after_bytes=20))
        await trio.sleep(2.0)
        await deployment.set_proxy_faults("desk-0", tcp_proxy.Faults())
        await deployment.set_target_faults("desk-1", plain_service.Faults(lose_answers=True))
        await trio.sleep(1.0)
        deployment.send_signal("entry-0", signal.SIGKILL)
        await trio.sleep(1.0)
        deployment.start_entry("entry-0")
        await deployment.set_proxy_faults("desk-1", tcp_proxy.Faults(cut=True))
        await trio.sleep(1.0)
        await deployment.set_target_faults("desk-1", plain_service.Faults())
        await deployment.set_proxy_faults("desk-1", tcp_proxy.Faults())
        await deployment.set_platform_faults(platform_faults.Faults(down=True))
        await trio.sleep(2.0)
        await deployment.set_platform_faults(platform_faults.Faults())
    return callers


async def check_not_run_is_true(deployment: local_deployment.LocalDeployment) -> list[str]:
    """Check that no request reported as not run is in a ledger."""
    callers = await _submit_jobs_under_faults(deployment)
    run_ids = {run.request_id for run in traffic.list_job_runs(await deployment.fetch_ledgers())}
    return [
        f"request {record.request_id} ({record.job}) was told not_run but ran"
        for record in callers.records
        if record.outcome == outcomes.Outcome.NOT_RUN and record.request_id in run_ids
    ]


async def check_at_most_once(deployment: local_deployment.LocalDeployment) -> list[str]:
    """Check that no job is in the ledgers twice and that every answered job is there."""
    callers = await _submit_jobs_under_faults(deployment)
    counts = collections.Counter(
        run.job for run in traffic.list_job_runs(await deployment.fetch_ledgers())
    )
    violations = [f"{job} ran {count} times" for job, count in counts.items() if count > 1]
    for record in callers.records:
        if record.job and record.ending is records.Ending.WHOLE and not counts[record.job]:
            violations.append(f"{record.job} was answered but is in no ledger")
    return violations
