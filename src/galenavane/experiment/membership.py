"""Measures the cost of membership per entry with 6, 12, 24 and 48 entries.

Run ``python -m galenavane.experiment.membership [ENTRIES ...]``.
"""

from __future__ import annotations

import dataclasses
import statistics
import sys
import time

import msgspec
import trio

from galenavane.experiment import configuration, entry_processes
from galenavane.net import message, round_trip, tcp

ENTRY_COUNTS = (6, 12, 24, 48)
SETTLE_SECONDS = 20.0
WINDOW_SECONDS = 30.0
CURVE_AND_FRAME_BYTES = 35
TCP_AND_IP_BYTES = 52


@dataclasses.dataclass(slots=True, frozen=True)
class Cost:
    """Mean cost of one idle entry.

    :ivar messages_per_second: membership messages sent and received.
    :ivar bytes_per_second: size of these messages before encryption and framing.
    :ivar reports_per_second: received messages with shared reports; not part of membership.
    :ivar core_share: share of a core that the whole process uses, from 0 to 1.
    :ivar calls_per_second: calls to the platform.
    :ivar resident_bytes: resident memory of the process.
    """

    entry_count: int
    messages_per_second: float
    bytes_per_second: float
    reports_per_second: float
    core_share: float
    calls_per_second: float
    resident_bytes: float

    def compute_wire_bytes_per_second(self) -> float:
        """Return the bytes per second including CURVE, ZMTP framing, TCP and IP."""
        return self.bytes_per_second + self.messages_per_second * (
            CURVE_AND_FRAME_BYTES + TCP_AND_IP_BYTES
        )


def main() -> None:
    """Print a table and a linear regression of processor time over messages."""
    entry_counts = [int(text) for text in sys.argv[1:]] or list(ENTRY_COUNTS)
    costs = []
    print(
        "| entries | messages/s | message B/s | with CURVE, TCP, IP B/s | reports/s | core % "
        "| platform calls/s | resident MB |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for entry_count in entry_counts:
        cost = trio.run(_measure, entry_count)
        costs.append(cost)
        print(
            f"| {cost.entry_count} | {cost.messages_per_second:.1f} | {cost.bytes_per_second:.0f} "
            f"| {cost.compute_wire_bytes_per_second():.0f} | {cost.reports_per_second:.1f} "
            f"| {cost.core_share * 100:.2f} "
            f"| {cost.calls_per_second:.2f} "
            f"| {cost.resident_bytes / 1e6:.0f} |",
            flush=True,
        )
    if len(costs) > 1:
        _print_regression(costs)


def _print_regression(costs: list[Cost]) -> None:
    weighted_messages = [cost.messages_per_second + 2 * cost.reports_per_second for cost in costs]
    core_percents = [cost.core_share * 100 for cost in costs]
    slope, intercept = statistics.linear_regression(weighted_messages, core_percents)
    residual = max(
        abs(y - intercept - slope * x)
        for x, y in zip(weighted_messages, core_percents, strict=True)
    )
    print(f"core % = {intercept:.3f} + {slope:.4f} * (messages + 2 * reports)/s")
    print(f"largest residual {residual:.3f}")


async def _measure(entry_count: int) -> Cost:
    deployment = entry_processes.Deployment()
    for number in range(entry_count):
        deployment.add_entry(f"entry-{number:02d}", configuration.DATA_CENTRES[number % 3])
    try:
        await deployment.start_platform()
        await configuration.accept_preset(deployment, "ordinary")
        for entry in deployment.entries:
            deployment.start_entry(entry)
        for entry in deployment.entries:
            await entry_processes.wait_until_ready(entry.caller_address, "/readyz")
        await trio.sleep(SETTLE_SECONDS)
        before = await _take_snapshot(deployment)
        await trio.sleep(WINDOW_SECONDS)
        after = await _take_snapshot(deployment)
        resident_bytes = statistics.mean(
            entry_processes.read_resident_bytes(entry.process)
            for entry in deployment.entries
            if entry.process
        )
    finally:
        deployment.stop()
    seconds = after.taken_at - before.taken_at
    messages, message_bytes, reports = _compute_message_rates(deployment)
    return Cost(
        entry_count=entry_count,
        messages_per_second=messages,
        bytes_per_second=message_bytes,
        reports_per_second=reports,
        core_share=(after.cpu_seconds - before.cpu_seconds) / seconds / entry_count,
        calls_per_second=(after.platform_calls - before.platform_calls) / seconds / entry_count,
        resident_bytes=resident_bytes,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class _Snapshot:
    taken_at: float
    cpu_seconds: float
    platform_calls: int


async def _take_snapshot(deployment: entry_processes.Deployment) -> _Snapshot:
    processes = [entry.process for entry in deployment.entries if entry.process is not None]
    response = await round_trip.send(
        tcp.make(),
        deployment.platform_address,
        message.Request("GET", "/v1/calls"),
        entry_processes.TIMEOUT_SECONDS,
        entry_processes.MAX_RESPONSE_BYTES,
    )
    calls = msgspec.json.decode(response.body, type=dict[str, int])
    cpu_seconds = sum(entry_processes.read_cpu_seconds(process) for process in processes)
    return _Snapshot(time.monotonic(), cpu_seconds, sum(calls.values()))


def _compute_message_rates(deployment: entry_processes.Deployment) -> tuple[float, float, float]:
    """Return the messages, bytes and reports per second, averaged over entry lifetimes."""
    messages, message_bytes, reports = [], [], []
    for entry in deployment.entries:
        totals = entry_processes.read_events(entry, "peer.totals")[-1]
        seconds = totals["seconds"]
        messages.append((totals["sent"] + totals["received"]) / seconds)
        message_bytes.append((totals["sent_bytes"] + totals["received_bytes"]) / seconds)
        reports.append(totals["reports_received"] / seconds)
    return statistics.mean(messages), statistics.mean(message_bytes), statistics.mean(reports)


if __name__ == "__main__":
    main()
