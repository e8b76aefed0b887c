"""One proof for each invariant; each returns what broke."""

from __future__ import annotations

import collections
import dataclasses
import random
import signal
import time
from collections import abc

import trio

from galenavane import invariant
from galenavane.control import completeness
from galenavane.failure import outcome as outcomes
from galenavane.net import tcp
from galenavane.platform import instance
from galenavane.proof import stage
from galenavane.soak import record as records
from galenavane.soak import topology, traffic
from galenavane.standin import link, plain, platform_faults

_Number = invariant.Number
ENTRIES = ("entry-0", "entry-1", "entry-2")
MARGIN_SECONDS = 0.7
LEAVING_SECONDS = 5.0
IN_FORCE_SECONDS = 6.0


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """A proof.

    :ivar wrong: name of the wrong version against which it is shown to fail.
    """

    number: invariant.Number
    what: str
    wrong: str
    run: abc.Callable[[stage.Stage], abc.Awaitable[list[str]]]


async def begin(on: stage.Stage, ignores_tokens: bool = False) -> None:
    """Start a deployment of two groups, two plain targets and three entries."""
    on.start_platform()
    for number in range(6):
        on.start_engine(f"engine-{number}", f"domain-{number // 3}", ignores_tokens)
    for name in ("desk-0", "desk-1"):
        on.start_plain(name)
    for name in ENTRIES:
        on.start_entry(name)
    await on.list_entries()
    folder = on.write_declarations(ignores_tokens, 2)
    told = await on.run_command(
        "apply", str(folder), "--platform", str(on.platform), "--preset", "ordinary"
    )
    if told.returncode:
        raise RuntimeError(told.stderr.decode())
    await on.wait_complete(2, ENTRIES)


class Callers:
    """Callers of a proof, who note wrong answers."""

    __slots__ = ("traffic", "wrong")

    def __init__(self, on: stage.Stage) -> None:
        self.wrong: list[str] = []
        rng = random.Random(1)
        self.traffic = traffic.Traffic(tcp.make(), dict(on.entries), rng, self._note)

    def _note(self, number: int, text: str) -> None:
        self.wrong.append(text)

    @property
    def records(self) -> list[records.Record]:
        """What callers were told."""
        return self.traffic.records


async def complete_group(on: stage.Stage) -> list[str]:
    """A member is paused while the platform is down, so that no new table can help."""
    await begin(on)
    callers = Callers(on)
    broken: list[str] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.traffic.run, 12.0)
        await trio.sleep(1.0)
        group = (await on.read_table()).groups[0]
        await on.disturb_platform(platform_faults.Faults(down=True))
        on.send_signal(group.members[1].instance, signal.SIGSTOP)
        paused_at = time.time()
        await trio.sleep(8.0)
        resumed_at = time.time()
        on.send_signal(group.members[1].instance, signal.SIGCONT)
        await on.disturb_platform(platform_faults.Faults())
    first = paused_at + completeness.PROOF_SECONDS + MARGIN_SECONDS
    for name in ENTRIES:
        for event in on.read_events(name):
            if event["message_type"] != "request.send" or event.get("group") != group.name:
                continue
            if event["epoch"] == group.epoch and first < event["timestamp"] < resumed_at:
                late = event["timestamp"] - paused_at
                broken.append(f"{name} sent to {group.name} {late:.1f} s after a member paused")
    return broken


async def one_group(on: stage.Stage) -> list[str]:
    """Members die and the paused lease holder wakes up; targets ignore fencing tokens."""
    await begin(on, ignores_tokens=True)
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
        for name in ENTRIES:
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


async def own_answer(on: stage.Stage) -> list[str]:
    """Leaders are killed, and with them streams in the middle."""
    await begin(on)
    callers = Callers(on)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.traffic.run, 10.0)
        for _ in range(2):
            await trio.sleep(3.0)
            groups = (await on.read_table()).groups
            if not groups:
                continue
            name = groups[0].members[0].instance
            on.send_signal(name, signal.SIGKILL)
            await trio.sleep(1.0)
            on.start_engine(name, f"domain-{int(name[-1]) // 3}", False)
    return callers.wrong


async def _place_jobs(on: stage.Stage) -> Callers:
    """Send jobs while a target's connections break after it has the request, and is killed."""
    await begin(on)
    for name in ("desk-0", "desk-1"):
        await on.start_link(name)
    await trio.sleep(2.0)
    callers = Callers(on)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.traffic.run, 12.0)
        await trio.sleep(2.0)
        await on.disturb_link("desk-0", link.Faults(cut_after_bytes=20))
        await trio.sleep(2.0)
        await on.disturb_link("desk-0", link.Faults())
        await on.disturb_target("desk-1", plain.Faults(lose_answers=True))
        await trio.sleep(1.0)
        on.send_signal("entry-0", signal.SIGKILL)
        await trio.sleep(1.0)
        on.start_entry("entry-0")
        await on.disturb_link("desk-1", link.Faults(cut=True))
        await trio.sleep(1.0)
        await on.disturb_target("desk-1", plain.Faults())
        await on.disturb_link("desk-1", link.Faults())
        await on.disturb_platform(platform_faults.Faults(down=True))
        await trio.sleep(2.0)
        await on.disturb_platform(platform_faults.Faults())
    return callers


async def not_run_is_true(on: stage.Stage) -> list[str]:
    """Nothing that a caller was told not to have run is in a ledger."""
    callers = await _place_jobs(on)
    ran = {run.request_id for run in traffic.jobs_of(await on.ledgers())}
    return [
        f"request {one.request_id} ({one.job}) was told not_run but ran"
        for one in callers.records
        if one.outcome == outcomes.Outcome.NOT_RUN and one.request_id in ran
    ]


async def at_most_once(on: stage.Stage) -> list[str]:
    """No job is in the ledgers twice, and every answered one is there."""
    callers = await _place_jobs(on)
    counts = collections.Counter(run.job for run in traffic.jobs_of(await on.ledgers()))
    broken = [f"{job} ran {count} times" for job, count in counts.items() if count > 1]
    for one in callers.records:
        if one.job and one.ending is records.Ending.WHOLE and not counts[one.job]:
            broken.append(f"{one.job} was answered but is in no ledger")
    return broken


async def leaving_gets_nothing(on: stage.Stage) -> list[str]:
    """The platform says that a plain target is leaving; the target goes on answering."""
    await begin(on)
    callers = Callers(on)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.traffic.run, 12.0)
        await trio.sleep(2.0)
        leaving_at = time.time()
        await on.list_instance(
            instance.Instance(
                "desk-0",
                str(on.targets["desk-0"]),
                stage.DATA_CENTRE,
                instance.Kind.PLAIN,
                service=topology.PLAIN_SERVICE,
                state=instance.State.LEAVING,
            )
        )
    return [
        f"{name} sent to desk-0 {event['timestamp'] - leaving_at:.1f} s after it was leaving"
        for name in ENTRIES
        for event in on.read_events(name)
        if event["message_type"] == "request.send"
        and event.get("instance") == "desk-0"
        and event["timestamp"] > leaving_at + LEAVING_SECONDS
    ]


async def planned_stop(on: stage.Stage) -> list[str]:
    """Entries are stopped and a maintenance preset comes and goes, with streams in flight."""
    await begin(on)
    callers = Callers(on)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.traffic.run, 14.0)
        for name in ("entry-0", "entry-1"):
            await trio.sleep(2.0)
            on.send_signal(name, signal.SIGTERM)
            with trio.move_on_after(30.0):
                while on.processes[name].poll() is None:
                    await trio.sleep(stage.POLL_SECONDS)
            on.start_entry(name)
            await trio.sleep(1.0)
        await on.run_command("preset", "maintenance", "--platform", str(on.platform))
        await trio.sleep(2.0)
        await on.run_command("preset", "ordinary", "--platform", str(on.platform))
    return [
        f"a request at {one.entry} (job {one.job!r}) ended {one.ending.value}"
        for one in callers.records
        if one.ending in (records.Ending.BROKEN, records.Ending.TIMEOUT)
    ]


async def configuration(on: stage.Stage) -> list[str]:
    """Two operators at once, answers lost, an entry restarted during an outage."""
    await begin(on)
    broken: list[str] = []
    accepted: list[str] = []

    async def switch(preset: str) -> None:
        told = await on.run_command("preset", preset, "--platform", str(on.platform))
        for line in told.stdout.decode().splitlines():
            if line.startswith("accepted:"):
                accepted.append(line.split("generation ")[1].split(",")[0])

    # A slow platform keeps both operators between their read and their write.
    await on.disturb_platform(platform_faults.Faults(slow_seconds=0.5))
    for _ in range(3):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(switch, "renewed")
            nursery.start_soon(switch, "maintenance")
    await on.disturb_platform(platform_faults.Faults())
    await switch("ordinary")
    for generation, count in collections.Counter(accepted).items():
        if count > 1:
            broken.append(f"generation {generation} was accepted {count} times")
    last = max(int(one) for one in accepted)
    await trio.sleep(IN_FORCE_SECONDS)
    await on.disturb_platform(platform_faults.Faults(down=True))
    on.send_signal("entry-0", signal.SIGKILL)
    await trio.sleep(0.5)
    on.start_entry("entry-0")
    await trio.sleep(IN_FORCE_SECONDS)
    for name in ENTRIES:
        found = await on.status(name)
        if found is None or found.generation < last:
            seen = found.generation if found else "none"
            broken.append(f"{name} has generation {seen}, accepted was {last}")
    return broken


ALL = (
    Case(
        _Number.COMPLETE_GROUP,
        "SIGSTOP of a member with the platform down",
        "route on a stale completeness proof",
        complete_group,
    ),
    Case(
        _Number.ONE_GROUP,
        "SIGKILL of a member, SIGSTOP and SIGCONT of the lease holder, tokens ignored",
        "take instances that are in a group already",
        one_group,
    ),
    Case(
        _Number.OWN_ANSWER,
        "SIGKILL of leaders with streams in the middle",
        "begin the answer anew in the middle of a stream",
        own_answer,
    ),
    Case(
        _Number.NOT_RUN_IS_TRUE,
        "cut and lost answers, SIGKILL of an entry, platform down",
        "tell not_run after bytes were sent",
        not_run_is_true,
    ),
    Case(
        _Number.AT_MOST_ONCE,
        "cut and lost answers, SIGKILL of an entry, platform down",
        "repeat a non-idempotent request after bytes were sent",
        at_most_once,
    ),
    Case(
        _Number.LEAVING_GETS_NOTHING,
        "a plain target is listed as leaving and still answers",
        "ignore that a target is leaving",
        leaving_gets_nothing,
    ),
    Case(
        _Number.PLANNED_STOP,
        "SIGTERM of two entries and two preset switches under load",
        "stop without waiting",
        planned_stop,
    ),
    Case(
        _Number.CONFIGURATION,
        "operators racing, SIGKILL and restart of an entry with the platform down",
        "write the head unconditionally",
        configuration,
    ),
)
