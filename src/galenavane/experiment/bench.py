"""Measures a deployment of today's shape with real processes: ``python -m``."""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import tempfile
import time
from collections import abc

import trio

from galenavane.control import table
from galenavane.load import destination, generator, report
from galenavane.load import profile as profiles
from galenavane.load import result as results
from galenavane.net import address as addresses
from galenavane.proof import local_deployment, wrapped
from galenavane.soak import topology, traffic
from galenavane.standin import engine_faults, platform_faults
from galenavane.store import instance

ENTRIES = tuple(f"entry-{number}" for number in range(6))
ENGINES = 12
DOMAIN_ENGINES = 3
GROUPS = 4
PHASE_SECONDS = 20.0
FAULT_SECONDS = 18.0
FAULT_AFTER_SECONDS = 5.0
LATE_SECONDS = 1.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

Fault = abc.Callable[[local_deployment.LocalDeployment], abc.Awaitable[None]]


def main() -> int:
    """Print every figure as a row of a table; return the exit code."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="galenavane-bench-"))
    on = local_deployment.LocalDeployment(folder, wrapped.UNCHANGED)

    async def measure() -> int:
        return await _measure(on)

    try:
        return trio.run(measure)
    finally:
        on.kill_all()


async def _measure(on: local_deployment.LocalDeployment) -> int:
    await _begin(on)
    before = _processor_seconds(on)
    await trio.sleep(10.0)
    idle = (_processor_seconds(on) - before) / 10.0
    print(f"| processor time of 6 entries, idle | {100 * idle:.1f}% of a core |")
    entries = [destination.Destination(on.entry_addresses[name]) for name in ENTRIES]
    leaders = _leaders(await on.fetch_table())
    mixed = _profile(15.0, (10, 100), 0.0)
    direct = await generator.run(generator.Plan(leaders, mixed, PHASE_SECONDS, 1))
    through = await generator.run(generator.Plan(entries, mixed, PHASE_SECONDS, 1))
    _print_added(report.summarise(direct), report.summarise(through))
    await _print_costs(entries, on, idle)
    lost = 0
    for name, fault in _FAULTS:
        lost += await _print_fault(on, entries, name, fault)
    print(f"| memory of an entry at the end, largest | {_memory_mb(on):.0f} MB |")
    return 1 if lost or through.wrong else 0


async def _begin(on: local_deployment.LocalDeployment) -> None:
    on.start_platform()
    for number in range(ENGINES):
        on.start_engine(f"engine-{number}", f"domain-{number // DOMAIN_ENGINES}", False)
    for name in ("desk-0", "desk-1"):
        on.start_plain(name)
    for name in ENTRIES:
        on.start_entry(name)
    await on.register_entries()
    folder = on.write_declarations(False, GROUPS)
    told = await on.run_command(
        "apply", str(folder), "--platform", str(on.platform_address), "--preset", "ordinary"
    )
    if told.returncode:
        raise RuntimeError(told.stderr.decode())
    await on.wait_for_complete_groups(GROUPS, ENTRIES)


def _profile(completions: float, answer: tuple[int, int], jobs: float) -> profiles.Profile:
    return profiles.Profile(
        [profiles.Account("clerks", topology.API_KEY, 1.0)],
        topology.MODEL,
        topology.PLAIN_SERVICE,
        completions,
        jobs,
        prompt_tokens=(50, 500),
        answer_tokens=answer,
        prefix_share=0.6,
        prefixes=12,
    )


def _leaders(found: table.Table) -> list[destination.Destination]:
    return [
        destination.Destination(addresses.parse(one.members[0].address), one.name, one.epoch)
        for one in found.groups
    ]


def _print_added(direct: report.Summary, through: report.Summary) -> None:
    rows = (
        ("first token", direct.first_token, through.first_token),
        ("between tokens", direct.between_tokens, through.between_tokens),
    )
    for name, one, two in rows:
        for what in ("p50_ms", "p95_ms", "p99_ms"):
            base, whole = getattr(one, what), getattr(two, what)
            figure = f"{base:.1f} ms direct, {whole:.1f} ms through, {whole - base:+.1f} ms"
            print(f"| {name} {what.removesuffix('_ms')} | {figure} |")
    print(f"| answers through entries | {through.answered} whole, {through.wrong} wrong |")


async def _print_costs(
    entries: list[destination.Destination], on: local_deployment.LocalDeployment, idle: float
) -> None:
    """Fit processor time to requests and tokens from one short and one long load."""
    points = []
    for rate, tokens in ((40.0, 1), (10.0, 100)):
        start = time.monotonic()
        before = _processor_seconds(on)
        result = await generator.run(
            generator.Plan(entries, _profile(rate, (tokens, tokens), 0.0), PHASE_SECONDS, 2)
        )
        used = _processor_seconds(on) - before - idle * (time.monotonic() - start)
        points.append((result.answered, result.answered * tokens, used))
    (few, few_tokens, one), (many, many_tokens, two) = points
    determinant = few * many_tokens - many * few_tokens
    request = (one * many_tokens - two * few_tokens) / determinant
    token = (few * two - many * one) / determinant
    print(f"| processor time a request | {1e6 * request:.0f} µs |")
    print(f"| processor time a token | {1e6 * token:.0f} µs |")


async def _print_fault(
    on: local_deployment.LocalDeployment,
    entries: list[destination.Destination],
    name: str,
    fault: Fault,
) -> int:
    """Print how long callers were affected; return requests lost or doubled in ledgers."""
    memory = _memory_mb(on)
    seed = int(time.monotonic())
    plan = generator.Plan(entries, _profile(10.0, (10, 100), 2.0), FAULT_SECONDS, seed)
    found: list[results.Result] = []
    began = trio.current_time()

    async def load() -> None:
        found.append(await generator.run(plan))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(load)
        await trio.sleep(FAULT_AFTER_SECONDS)
        await fault(on)
    result = found[0]
    bad = [
        one.due_at - began
        for one in result.samples
        if not one.is_whole or one.first_seconds is None or one.first_seconds > LATE_SECONDS
    ]
    affected = max(0.0, max(bad, default=0.0) - FAULT_AFTER_SECONDS)
    broken = sum(not one.is_whole for one in result.samples)
    ran = [run.job for run in traffic.list_job_runs(await on.fetch_ledgers())]
    doubled = len(ran) - len(set(ran))
    lost = len(set(result.placed) - set(ran))
    print(
        f"| {name} | affected for {affected:.1f} s, {broken} of {len(result.samples)} not whole, "
        f"{len(bad) - broken} late; {len(result.placed)} of {len(result.sent_jobs)} jobs placed, "
        f"{lost} lost, {doubled} doubled; memory {memory:.0f} to {_memory_mb(on):.0f} MB |"
    )
    sys.stdout.flush()
    await on.wait_for_complete_groups(GROUPS, ENTRIES)
    return lost + doubled + result.wrong


async def _kill_entries(on: local_deployment.LocalDeployment) -> None:
    for name in ENTRIES[:2]:
        on.send_signal(name, signal.SIGKILL)
        on.processes[name].wait()
        on.start_entry(name)
        await trio.sleep(3.0)


async def _kill_member(on: local_deployment.LocalDeployment) -> None:
    name = (await on.fetch_table()).groups[0].members[1].instance
    await _restart(on, [name])


async def _dark_domain(on: local_deployment.LocalDeployment) -> None:
    await _restart(on, [f"engine-{number}" for number in range(DOMAIN_ENGINES)])


async def _restart(on: local_deployment.LocalDeployment, names: list[str]) -> None:
    for name in names:
        on.send_signal(name, signal.SIGKILL)
    await trio.sleep(4.0)
    for name in names:
        domain = int(name.removeprefix("engine-")) // DOMAIN_ENGINES
        on.start_engine(name, f"domain-{domain}", False)


async def _platform_down(on: local_deployment.LocalDeployment) -> None:
    await on.set_platform_faults(platform_faults.Faults(down=True))
    await trio.sleep(8.0)
    await on.set_platform_faults(platform_faults.Faults())


async def _silent_streams(on: local_deployment.LocalDeployment) -> None:
    leader = (await on.fetch_table()).groups[0].members[0].instance
    await on.set_target_faults(leader, engine_faults.Faults(silent=True))
    await trio.sleep(5.0)
    await on.set_target_faults(leader, engine_faults.Faults())


async def _pause_holder(on: local_deployment.LocalDeployment) -> None:
    for name in ENTRIES:
        found = await on.fetch_status(name)
        if found is not None and found.token is not None:
            on.send_signal(name, signal.SIGSTOP)
            await trio.sleep(9.0)
            on.send_signal(name, signal.SIGCONT)
            return


async def _nothing(on: local_deployment.LocalDeployment) -> None:
    await trio.sleep(0.0)


async def _leave_plain(on: local_deployment.LocalDeployment) -> None:
    for state in (instance.State.LEAVING, instance.State.LIVE):
        await on.register_instance(
            instance.Instance(
                "desk-0",
                str(on.process_addresses["desk-0"]),
                local_deployment.DATA_CENTRE,
                instance.Kind.PLAIN,
                service=topology.PLAIN_SERVICE,
                state=state,
            )
        )
        await trio.sleep(4.0)


_FAULTS: tuple[tuple[str, Fault], ...] = (
    ("nothing fails", _nothing),
    ("two entries killed and replaced, 3 s apart", _kill_entries),
    ("a member killed, back after 4 s", _kill_member),
    ("a fabric domain dark for 4 s", _dark_domain),
    ("platform down for 8 s", _platform_down),
    ("a leader's streams silent for 5 s", _silent_streams),
    ("the lease holder paused for 9 s", _pause_holder),
    ("a plain target leaving and back", _leave_plain),
)


def _processor_seconds(on: local_deployment.LocalDeployment) -> float:
    ticks = 0
    for name in ENTRIES:
        fields = pathlib.Path(f"/proc/{on.processes[name].pid}/stat").read_text()
        ticks += sum(int(one) for one in fields.rpartition(")")[2].split()[11:13])
    return ticks / TICKS_PER_SECOND


def _memory_mb(on: local_deployment.LocalDeployment) -> float:
    pages = [
        int(pathlib.Path(f"/proc/{on.processes[name].pid}/statm").read_text().split()[1])
        for name in ENTRIES
    ]
    return max(pages) * PAGE_BYTES / 1e6


if __name__ == "__main__":
    sys.exit(main())
