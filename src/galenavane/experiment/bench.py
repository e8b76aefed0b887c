"""Measures latency, processor time, memory and fault recovery of a local deployment.

The deployment has the shape of today's and consists of real processes.
Run ``python -m galenavane.experiment.bench``.
"""

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
ENGINE_COUNT = 12
DOMAIN_ENGINES = 3
"""Number of engines in a fabric domain."""
GROUP_COUNT = 4
PHASE_SECONDS = 20.0
FAULT_PHASE_SECONDS = 18.0
FAULT_DELAY_SECONDS = 5.0
"""Time between the start of the load and the fault."""
LATE_FIRST_TOKEN_SECONDS = 1.0
"""A first token that takes longer counts as late."""
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

Fault = abc.Callable[[local_deployment.LocalDeployment], abc.Awaitable[None]]


def main() -> int:
    """Print each result as a row of a table; return the exit code."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="galenavane-bench-"))
    deployment = local_deployment.LocalDeployment(folder, wrapped.UNCHANGED)

    async def measure() -> int:
        return await _measure(deployment)

    try:
        return trio.run(measure)
    finally:
        deployment.kill_all()


async def _measure(deployment: local_deployment.LocalDeployment) -> int:
    await _start_deployment(deployment)
    cpu_before = _read_cpu_seconds(deployment)
    await trio.sleep(10.0)
    idle_share = (_read_cpu_seconds(deployment) - cpu_before) / 10.0
    print(f"| processor time of 6 entries, idle | {100 * idle_share:.1f}% of a core |")
    entries = [destination.Destination(deployment.entry_addresses[name]) for name in ENTRIES]
    leaders = _list_leaders(await deployment.fetch_table())
    mixed = _profile(15.0, (10, 100), 0.0)
    direct = await generator.run(generator.Plan(leaders, mixed, PHASE_SECONDS, 1))
    via_entries = await generator.run(generator.Plan(entries, mixed, PHASE_SECONDS, 1))
    _print_added_latency(report.summarise(direct), report.summarise(via_entries))
    await _print_costs(entries, deployment, idle_share)
    violations = 0
    for name, fault in _FAULT_CASES:
        violations += await _print_fault(deployment, entries, name, fault)
    print(f"| memory of an entry at the end, largest | {_read_max_memory_mb(deployment):.0f} MB |")
    return 1 if violations or via_entries.wrong else 0


async def _start_deployment(deployment: local_deployment.LocalDeployment) -> None:
    deployment.start_platform()
    for number in range(ENGINE_COUNT):
        deployment.start_engine(f"engine-{number}", f"domain-{number // DOMAIN_ENGINES}", False)
    for name in ("desk-0", "desk-1"):
        deployment.start_plain(name)
    for name in ENTRIES:
        deployment.start_entry(name)
    await deployment.register_entries()
    folder = deployment.write_declarations(False, GROUP_COUNT)
    applied = await deployment.run_command(
        "apply", str(folder), "--platform", str(deployment.platform_address), "--preset", "ordinary"
    )
    if applied.returncode:
        raise RuntimeError(applied.stderr.decode())
    await deployment.wait_for_complete_groups(GROUP_COUNT, ENTRIES)


def _profile(
    completions_per_second: float, output_tokens: tuple[int, int], jobs_per_second: float
) -> profiles.Profile:
    return profiles.Profile(
        [profiles.Account("clerks", topology.API_KEY, 1.0)],
        topology.MODEL,
        topology.PLAIN_SERVICE,
        completions_per_second,
        jobs_per_second,
        prompt_tokens=(50, 500),
        answer_tokens=output_tokens,
        prefix_share=0.6,
        prefixes=12,
    )


def _list_leaders(current: table.Table) -> list[destination.Destination]:
    return [
        destination.Destination(addresses.parse(group.members[0].address), group.name, group.epoch)
        for group in current.groups
    ]


def _print_added_latency(direct: report.Summary, via_entries: report.Summary) -> None:
    rows = (
        ("first token", direct.first_token, via_entries.first_token),
        ("between tokens", direct.between_tokens, via_entries.between_tokens),
    )
    for name, direct_stats, entry_stats in rows:
        for field in ("p50_ms", "p95_ms", "p99_ms"):
            direct_ms, entry_ms = getattr(direct_stats, field), getattr(entry_stats, field)
            figure = (
                f"{direct_ms:.1f} ms direct, {entry_ms:.1f} ms through, "
                f"{entry_ms - direct_ms:+.1f} ms"
            )
            print(f"| {name} {field.removesuffix('_ms')} | {figure} |")
    print(f"| answers through entries | {via_entries.answered} whole, {via_entries.wrong} wrong |")


async def _print_costs(
    entries: list[destination.Destination],
    deployment: local_deployment.LocalDeployment,
    idle_share: float,
) -> None:
    """Print the processor time per request and per token.

    Two loads, one with short and one with long responses, give two equations for the two costs.
    """
    points = []
    for rate, tokens in ((40.0, 1), (10.0, 100)):
        started_at = time.monotonic()
        cpu_before = _read_cpu_seconds(deployment)
        result = await generator.run(
            generator.Plan(entries, _profile(rate, (tokens, tokens), 0.0), PHASE_SECONDS, 2)
        )
        cpu_seconds = (
            _read_cpu_seconds(deployment)
            - cpu_before
            - idle_share * (time.monotonic() - started_at)
        )
        points.append((result.answered, result.answered * tokens, cpu_seconds))
    (short_requests, short_tokens, short_seconds), (long_requests, long_tokens, long_seconds) = (
        points
    )
    determinant = short_requests * long_tokens - long_requests * short_tokens
    request_seconds = (short_seconds * long_tokens - long_seconds * short_tokens) / determinant
    token_seconds = (short_requests * long_seconds - long_requests * short_seconds) / determinant
    print(f"| processor time a request | {1e6 * request_seconds:.0f} µs |")
    print(f"| processor time a token | {1e6 * token_seconds:.0f} µs |")


async def _print_fault(
    deployment: local_deployment.LocalDeployment,
    entries: list[destination.Destination],
    name: str,
    fault: Fault,
) -> int:
    """Print for how long a fault affected callers.

    :returns: number of jobs lost or executed twice and of wrong responses.
    """
    memory_before_mb = _read_max_memory_mb(deployment)
    seed = int(time.monotonic())
    plan = generator.Plan(entries, _profile(10.0, (10, 100), 2.0), FAULT_PHASE_SECONDS, seed)
    finished: list[results.Result] = []
    started_at = trio.current_time()

    async def load() -> None:
        finished.append(await generator.run(plan))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(load)
        await trio.sleep(FAULT_DELAY_SECONDS)
        await fault(deployment)
    result = finished[0]
    affected_times = [
        sample.due_at - started_at
        for sample in result.samples
        if not sample.is_whole
        or sample.first_seconds is None
        or sample.first_seconds > LATE_FIRST_TOKEN_SECONDS
    ]
    affected_seconds = max(0.0, max(affected_times, default=0.0) - FAULT_DELAY_SECONDS)
    incomplete = sum(not sample.is_whole for sample in result.samples)
    executed_jobs = [run.job for run in traffic.list_job_runs(await deployment.fetch_ledgers())]
    duplicated = len(executed_jobs) - len(set(executed_jobs))
    lost = len(set(result.placed) - set(executed_jobs))
    print(
        f"| {name} | affected for {affected_seconds:.1f} s, "
        f"{incomplete} of {len(result.samples)} not whole, "
        f"{len(affected_times) - incomplete} late; "
        f"{len(result.placed)} of {len(result.sent_jobs)} jobs placed, "
        f"{lost} lost, {duplicated} doubled; "
        f"memory {memory_before_mb:.0f} to {_read_max_memory_mb(deployment):.0f} MB |"
    )
    sys.stdout.flush()
    await deployment.wait_for_complete_groups(GROUP_COUNT, ENTRIES)
    return lost + duplicated + result.wrong


async def _restart_entries(deployment: local_deployment.LocalDeployment) -> None:
    for name in ENTRIES[:2]:
        deployment.send_signal(name, signal.SIGKILL)
        deployment.processes[name].wait()
        deployment.start_entry(name)
        await trio.sleep(3.0)


async def _restart_member(deployment: local_deployment.LocalDeployment) -> None:
    name = (await deployment.fetch_table()).groups[0].members[1].instance
    await _restart_engines(deployment, [name])


async def _restart_domain(deployment: local_deployment.LocalDeployment) -> None:
    await _restart_engines(deployment, [f"engine-{number}" for number in range(DOMAIN_ENGINES)])


async def _restart_engines(deployment: local_deployment.LocalDeployment, names: list[str]) -> None:
    for name in names:
        deployment.send_signal(name, signal.SIGKILL)
    await trio.sleep(4.0)
    for name in names:
        domain = int(name.removeprefix("engine-")) // DOMAIN_ENGINES
        deployment.start_engine(name, f"domain-{domain}", False)


async def _stop_platform(deployment: local_deployment.LocalDeployment) -> None:
    await deployment.set_platform_faults(platform_faults.Faults(down=True))
    await trio.sleep(8.0)
    await deployment.set_platform_faults(platform_faults.Faults())


async def _silence_streams(deployment: local_deployment.LocalDeployment) -> None:
    leader = (await deployment.fetch_table()).groups[0].members[0].instance
    await deployment.set_target_faults(leader, engine_faults.Faults(silent=True))
    await trio.sleep(5.0)
    await deployment.set_target_faults(leader, engine_faults.Faults())


async def _pause_lease_holder(deployment: local_deployment.LocalDeployment) -> None:
    for name in ENTRIES:
        status = await deployment.fetch_status(name)
        if status is not None and status.token is not None:
            deployment.send_signal(name, signal.SIGSTOP)
            await trio.sleep(9.0)
            deployment.send_signal(name, signal.SIGCONT)
            return


async def _do_nothing(deployment: local_deployment.LocalDeployment) -> None:
    await trio.sleep(0.0)


async def _drain_plain_target(deployment: local_deployment.LocalDeployment) -> None:
    for state in (instance.State.LEAVING, instance.State.LIVE):
        await deployment.register_instance(
            instance.Instance(
                "desk-0",
                str(deployment.process_addresses["desk-0"]),
                local_deployment.DATA_CENTRE,
                instance.Kind.PLAIN,
                service=topology.PLAIN_SERVICE,
                state=state,
            )
        )
        await trio.sleep(4.0)


_FAULT_CASES: tuple[tuple[str, Fault], ...] = (
    ("nothing fails", _do_nothing),
    ("two entries killed and replaced, 3 s apart", _restart_entries),
    ("a member killed, back after 4 s", _restart_member),
    ("a fabric domain dark for 4 s", _restart_domain),
    ("platform down for 8 s", _stop_platform),
    ("a leader's streams silent for 5 s", _silence_streams),
    ("the lease holder paused for 9 s", _pause_lease_holder),
    ("a plain target leaving and back", _drain_plain_target),
)


def _read_cpu_seconds(deployment: local_deployment.LocalDeployment) -> float:
    ticks = 0
    for name in ENTRIES:
        fields = pathlib.Path(f"/proc/{deployment.processes[name].pid}/stat").read_text()
        ticks += sum(int(value) for value in fields.rpartition(")")[2].split()[11:13])
    return ticks / TICKS_PER_SECOND


def _read_max_memory_mb(deployment: local_deployment.LocalDeployment) -> float:
    pages = [
        int(pathlib.Path(f"/proc/{deployment.processes[name].pid}/statm").read_text().split()[1])
        for name in ENTRIES
    ]
    return max(pages) * PAGE_BYTES / 1e6


if __name__ == "__main__":
    sys.exit(main())
