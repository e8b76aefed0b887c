"""One seeded run of jobs through faulty connections, targets, entries and platform."""

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
from galenavane.simulate import clock, faulty_net, owner
from galenavane.standin import plain, platform_faults

ENTRIES = 3
TARGETS = 2
JOBS = 6
START_SPAN_SECONDS = 4.0
DEADLINE_SECONDS = 6.0
SETTLE_SECONDS = 120.0
MAX_REPEATS = 4
MAX_FAULT_BYTES = 500
FAULT_SHARE = 0.35
KEYED_SHARE = 0.7
DOUBLE_SHARE = 0.3
MAX_ANSWER_BYTES = 100_000


@dataclasses.dataclass(slots=True)
class Job:
    """One job and what its caller was told.

    :ivar told: each answer: ``answered`` and the like, or ``lost`` for a broken connection.
    """

    text: str
    key: str
    told: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Result:
    """What one schedule showed.

    :ivar violations: one line each; empty when everything held.
    """

    violations: list[str] = dataclasses.field(default_factory=list)
    told: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    faults: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)


class _Schedule:
    __slots__ = ("deployment", "is_healed", "result", "rng")

    def __init__(self, deployment: small_deployment.SmallDeployment, rng: random.Random) -> None:
        self.deployment = deployment
        self.rng = rng
        self.result = Result()
        self.is_healed = False

    def next_fault(self, where: addresses.Address) -> faulty_net.Fault:
        """Draw the fault of the next connection."""
        if self.is_healed or self.rng.random() >= FAULT_SHARE:
            return faulty_net.Fault()
        kind = self.rng.choice(list(faulty_net.Kind))
        self.result.faults[kind.value] += 1
        return faulty_net.Fault(kind, self.rng.randrange(MAX_FAULT_BYTES))


def run(seed: int) -> Result:
    """Run one schedule in virtual time."""
    return clock.run(_main, seed, seed)


async def _main(seed: int) -> Result:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        made = small_deployment.SmallDeployment(nursery, rng)
        schedule = _Schedule(made, rng)
        await made.start(ENTRIES, TARGETS, schedule.next_fault)
        jobs = [
            Job(f"job {number}", f"key {number}" if rng.random() < KEYED_SHARE else "")
            for number in range(JOBS)
        ]
        async with trio.open_nursery() as running:
            running.start_soon(_break_processes, schedule)
            for job in jobs:
                running.start_soon(_place, schedule, job)
                if job.key and rng.random() < DOUBLE_SHARE:
                    running.start_soon(_place, schedule, job)
        await _heal(schedule)
        await trio.sleep(SETTLE_SECONDS)
        await _check(schedule, jobs)
        nursery.cancel_scope.cancel()
    return schedule.result


async def _break_processes(schedule: _Schedule) -> None:
    rng, made = schedule.rng, schedule.deployment
    for _ in range(rng.randrange(4)):
        await trio.sleep(rng.uniform(0, START_SPAN_SECONDS))
        choice = rng.randrange(4)
        schedule.result.faults[f"process {choice}"] += 1
        if choice == 0:
            where = rng.choice(made.entries)
            made.kill(where)
            await trio.sleep(rng.uniform(0, 1))
            await made.start_entry(where, schedule.next_fault)
        elif choice == 1:
            await _set_faults(schedule, rng.choice(made.targets), _draw_plain(rng))
        else:
            await _set_faults(schedule, made.platform, _draw_platform(rng))


def _draw_plain(rng: random.Random) -> plain.Faults:
    return plain.Faults(rng.choice([0.0, 3.0, 7.0]), rng.random() < 0.5, rng.random() < 0.3)


def _draw_platform(rng: random.Random) -> platform_faults.Faults:
    slow = rng.choice([0.0, 1.0, 2.5, 5.0])
    return platform_faults.Faults(rng.random() < 0.3, slow, rng.random() < 0.4)


async def _set_faults(
    schedule: _Schedule, where: addresses.Address, faults: msgspec.Struct
) -> None:
    await schedule.deployment.call(where, message.json_request("POST", "/faults", faults))


async def _heal(schedule: _Schedule) -> None:
    schedule.is_healed = True
    await _set_faults(schedule, schedule.deployment.platform, platform_faults.Faults())
    for where in schedule.deployment.targets:
        await _set_faults(schedule, where, plain.Faults())


async def _place(schedule: _Schedule, job: Job) -> None:
    """Send a job as its caller does: repeat with a key, or when it was not run."""
    rng = schedule.rng
    await trio.sleep(rng.uniform(0, START_SPAN_SECONDS))
    for _ in range(MAX_REPEATS):
        outcome = await _send(schedule, job)
        job.told.append(outcome)
        schedule.result.told[outcome] += 1
        if outcome == outcomes.Outcome.ANSWERED.value:
            return
        if not job.key and outcome != outcomes.Outcome.NOT_RUN.value:
            return
        await trio.sleep(rng.uniform(0, 3))


async def _send(schedule: _Schedule, job: Job) -> str:
    """Send a job once; return the outcome that the caller was told."""
    made = schedule.deployment
    net = faulty_net.FaultyNet(made.net.face(owner.Owner("caller")), schedule.next_fault)
    req = small_deployment.make_request(
        "POST", "/jobs", job.text.encode(), DEADLINE_SECONDS, job.key
    )
    where = schedule.rng.choice(made.entries)
    try:
        answer = await round_trip.send(
            net, where, req, small_deployment.CALL_SECONDS, MAX_ANSWER_BYTES
        )
    except transport_error.TransportError:
        return "lost"
    if answer.status == 201:
        if msgspec.json.decode(answer.body)["job"] != job.text:
            schedule.result.violations.append(f"{job.text}: another job's answer")
        return outcomes.Outcome.ANSWERED.value
    try:
        detail = msgspec.json.decode(answer.body, type=errors.ErrorBody).error
    except msgspec.DecodeError:
        schedule.result.violations.append(f"{job.text}: error without a number: {answer}")
        return "lost"
    if detail.code == codes.Code.INTERNAL.value:
        schedule.result.violations.append(f"{job.text}: {detail.message}")
    return detail.outcome


async def _check(schedule: _Schedule, jobs: list[Job]) -> None:
    """Compare what callers were told with the ledger of the targets."""
    ledger = await schedule.deployment.ledger()
    runs = collections.Counter(line.job for line in ledger)
    found = schedule.result.violations
    for job in jobs:
        count = runs[job.text]
        if count > 1:
            found.append(f"{job.text}: ran {count} times, told {job.told}")
        if set(job.told) == {outcomes.Outcome.NOT_RUN.value} and count:
            found.append(f"{job.text}: told not_run and ran")
        if outcomes.Outcome.ANSWERED.value in job.told and count != 1:
            found.append(f"{job.text}: answered and ran {count} times")
        if job.key:
            last = await _send(schedule, job)
            if last == outcomes.Outcome.NOT_RUN.value:
                found.append(f"{job.text}: refused after every fault was mended")
            if last == outcomes.Outcome.ANSWERED.value and not count:
                count = 1
            if last == outcomes.Outcome.FAILED.value and not count:
                found.append(f"{job.text}: told failed, never ran")
    again = collections.Counter(line.job for line in await schedule.deployment.ledger())
    found += [f"{text}: ran again after the end" for text, count in again.items() if count > 1]
