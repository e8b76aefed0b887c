"""Runs jobs under one seeded schedule of faults in connections, targets, entries and platform."""

from __future__ import annotations

import collections
import dataclasses
import random

import msgspec
import trio

from galenavane.experiment import small_deployment
from galenavane.failure import code as codes
from galenavane.failure import outcome as outcomes
from galenavane.net import address as addresses
from galenavane.net import message, round_trip, transport_error
from galenavane.serve import errors
from galenavane.simulate import faulty_network, simulated_process, virtual_clock
from galenavane.standin import plain_service, platform_faults

ENTRY_COUNT = 3
TARGET_COUNT = 2
JOB_COUNT = 6
MAX_START_DELAY_SECONDS = 4.0
DEADLINE_SECONDS = 6.0
SETTLE_SECONDS = 120.0
MAX_JOB_ATTEMPTS = 4
MAX_FAULT_OFFSET_BYTES = 500
FAULT_PROBABILITY = 0.35
IDEMPOTENCY_KEY_PROBABILITY = 0.7
DUPLICATE_PROBABILITY = 0.3
MAX_RESPONSE_BYTES = 100_000


@dataclasses.dataclass(slots=True)
class Job:
    """A job and the outcomes reported to its caller.

    :ivar idempotency_key: empty if the job has none.
    :ivar reported_outcomes: outcome of each attempt, ``lost`` if the connection failed.
    """

    text: str
    idempotency_key: str
    reported_outcomes: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Result:
    """Findings of one schedule.

    :ivar violations: one line for each; empty if there is none.
    :ivar outcome_counts: number of attempts by reported outcome.
    :ivar fault_counts: number of drawn faults by kind.
    """

    violations: list[str] = dataclasses.field(default_factory=list)
    outcome_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    fault_counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)


class _ScheduleRun:
    """A deployment, the random numbers of its faults, and the findings.

    :ivar is_fault_free: whether faults have ended.
    """

    __slots__ = ("deployment", "is_fault_free", "result", "rng")

    def __init__(self, deployment: small_deployment.SmallDeployment, rng: random.Random) -> None:
        self.deployment = deployment
        self.rng = rng
        self.result = Result()
        self.is_fault_free = False

    def next_fault(self, address: addresses.Address) -> faulty_network.Fault:
        """Draw the fault of the next connection, none once faults have ended."""
        if self.is_fault_free or self.rng.random() >= FAULT_PROBABILITY:
            return faulty_network.Fault()
        kind = self.rng.choice(list(faulty_network.Kind))
        self.result.fault_counts[kind.value] += 1
        return faulty_network.Fault(kind, self.rng.randrange(MAX_FAULT_OFFSET_BYTES))


def run(seed: int) -> Result:
    """Run the schedule of a seed in virtual time."""
    return virtual_clock.run(_run_schedule, seed, seed)


async def _run_schedule(seed: int) -> Result:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        deployment = small_deployment.SmallDeployment(nursery, rng)
        schedule_run = _ScheduleRun(deployment, rng)
        await deployment.start(ENTRY_COUNT, TARGET_COUNT, schedule_run.next_fault)
        jobs = [
            Job(
                f"job {number}",
                f"key {number}" if rng.random() < IDEMPOTENCY_KEY_PROBABILITY else "",
            )
            for number in range(JOB_COUNT)
        ]
        async with trio.open_nursery() as job_nursery:
            job_nursery.start_soon(_inject_process_faults, schedule_run)
            for job in jobs:
                job_nursery.start_soon(_submit_job, schedule_run, job)
                if job.idempotency_key and rng.random() < DUPLICATE_PROBABILITY:
                    job_nursery.start_soon(_submit_job, schedule_run, job)
        await _end_faults(schedule_run)
        await trio.sleep(SETTLE_SECONDS)
        await _check_ledger(schedule_run, jobs)
        nursery.cancel_scope.cancel()
    return schedule_run.result


async def _inject_process_faults(schedule_run: _ScheduleRun) -> None:
    rng, deployment = schedule_run.rng, schedule_run.deployment
    for _ in range(rng.randrange(4)):
        await trio.sleep(rng.uniform(0, MAX_START_DELAY_SECONDS))
        choice = rng.randrange(4)
        schedule_run.result.fault_counts[f"process {choice}"] += 1
        if choice == 0:
            address = rng.choice(deployment.entries)
            deployment.kill_process(address)
            await trio.sleep(rng.uniform(0, 1))
            await deployment.start_entry(address, schedule_run.next_fault)
        elif choice == 1:
            await _set_faults(
                schedule_run, rng.choice(deployment.targets), _draw_target_faults(rng)
            )
        else:
            await _set_faults(schedule_run, deployment.platform, _draw_platform_faults(rng))


def _draw_target_faults(rng: random.Random) -> plain_service.Faults:
    return plain_service.Faults(rng.choice([0.0, 3.0, 7.0]), rng.random() < 0.5, rng.random() < 0.3)


def _draw_platform_faults(rng: random.Random) -> platform_faults.Faults:
    slow_seconds = rng.choice([0.0, 1.0, 2.5, 5.0])
    return platform_faults.Faults(rng.random() < 0.3, slow_seconds, rng.random() < 0.4)


async def _set_faults(
    schedule_run: _ScheduleRun, address: addresses.Address, faults: msgspec.Struct
) -> None:
    await schedule_run.deployment.call(address, message.json_request("POST", "/faults", faults))


async def _end_faults(schedule_run: _ScheduleRun) -> None:
    schedule_run.is_fault_free = True
    await _set_faults(schedule_run, schedule_run.deployment.platform, platform_faults.Faults())
    for address in schedule_run.deployment.targets:
        await _set_faults(schedule_run, address, plain_service.Faults())


async def _submit_job(schedule_run: _ScheduleRun, job: Job) -> None:
    """Submit a job as a caller does: retry with an idempotency key, or if it was not run."""
    rng = schedule_run.rng
    await trio.sleep(rng.uniform(0, MAX_START_DELAY_SECONDS))
    for _ in range(MAX_JOB_ATTEMPTS):
        outcome = await _send_job(schedule_run, job)
        job.reported_outcomes.append(outcome)
        schedule_run.result.outcome_counts[outcome] += 1
        if outcome == outcomes.Outcome.ANSWERED.value:
            return
        if not job.idempotency_key and outcome != outcomes.Outcome.NOT_RUN.value:
            return
        await trio.sleep(rng.uniform(0, 3))


async def _send_job(schedule_run: _ScheduleRun, job: Job) -> str:
    """Send a job once; return the outcome reported to the caller."""
    deployment = schedule_run.deployment
    caller_net = faulty_network.FaultyNetwork(
        deployment.net.attach_process(simulated_process.SimulatedProcess("caller")),
        schedule_run.next_fault,
    )
    req = small_deployment.make_request(
        "POST", "/jobs", job.text.encode(), DEADLINE_SECONDS, job.idempotency_key
    )
    address = schedule_run.rng.choice(deployment.entries)
    try:
        response = await round_trip.send(
            caller_net, address, req, small_deployment.CALL_TIMEOUT_SECONDS, MAX_RESPONSE_BYTES
        )
    except transport_error.TransportError:
        return "lost"
    if response.status == 201:
        if msgspec.json.decode(response.body)["job"] != job.text:
            schedule_run.result.violations.append(f"{job.text}: received another job's response")
        return outcomes.Outcome.ANSWERED.value
    try:
        detail = msgspec.json.decode(response.body, type=errors.ErrorBody).error
    except msgspec.DecodeError:
        schedule_run.result.violations.append(
            f"{job.text}: response without a valid error body: {response}"
        )
        return "lost"
    if detail.code == codes.Code.INTERNAL.value:
        schedule_run.result.violations.append(f"{job.text}: {detail.message}")
    return detail.outcome


async def _check_ledger(schedule_run: _ScheduleRun, jobs: list[Job]) -> None:
    """Compare the outcomes reported to callers with the ledger of the targets."""
    ledger = await schedule_run.deployment.fetch_ledger()
    run_counts = collections.Counter(job_run.job for job_run in ledger)
    violations = schedule_run.result.violations
    for job in jobs:
        run_count = run_counts[job.text]
        if run_count > 1:
            violations.append(
                f"{job.text}: was run {run_count} times, reported as {job.reported_outcomes}"
            )
        if set(job.reported_outcomes) == {outcomes.Outcome.NOT_RUN.value} and run_count:
            violations.append(f"{job.text}: reported as not_run, but was run")
        if outcomes.Outcome.ANSWERED.value in job.reported_outcomes and run_count != 1:
            violations.append(f"{job.text}: reported as answered, but was run {run_count} times")
        if job.idempotency_key:
            last_outcome = await _send_job(schedule_run, job)
            if last_outcome == outcomes.Outcome.NOT_RUN.value:
                violations.append(f"{job.text}: reported as not_run after all faults had ended")
            if last_outcome == outcomes.Outcome.ANSWERED.value and not run_count:
                run_count = 1
            if last_outcome == outcomes.Outcome.FAILED.value and not run_count:
                violations.append(f"{job.text}: reported as failed, but was never run")
    final_counts = collections.Counter(
        job_run.job for job_run in await schedule_run.deployment.fetch_ledger()
    )
    violations += [
        f"{job_text}: was run more than once by the end"
        for job_text, run_count in final_counts.items()
        if run_count > 1
    ]
