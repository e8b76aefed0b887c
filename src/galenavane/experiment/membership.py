"""Measures what membership costs an entry at 6, 12, 24 and 48 entries.

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

COUNTS = (6, 12, 24, 48)
SETTLE_SECONDS = 20.0
WINDOW_SECONDS = 30.0
CURVE_AND_FRAME_BYTES = 35
TCP_AND_IP_BYTES = 52


@dataclasses.dataclass(slots=True, frozen=True)
class Cost:
    """What one entry spends in a second.

    :ivar messages: of membership, sent and received.
    :ivar message_bytes: of them, before encryption and framing.
    :ivar reports: messages of shared reports that are received, which are not membership's.
    :ivar core: share of a core of the whole idle process.
    :ivar calls: calls of the platform.
    """

    entries: int
    messages: float
    message_bytes: float
    reports: float
    core: float
    calls: float
    resident_bytes: float

    def wire_bytes(self) -> float:
        """Return the bytes with CURVE, ZMTP framing, TCP and IP."""
        return self.message_bytes + self.messages * (CURVE_AND_FRAME_BYTES + TCP_AND_IP_BYTES)


def main() -> None:
    """Print a table, and the line through processor time over messages."""
    counts = [int(word) for word in sys.argv[1:]] or list(COUNTS)
    costs = []
    print(
        "| entries | messages/s | message B/s | with CURVE, TCP, IP B/s | reports/s | core % "
        "| platform calls/s | resident MB |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for count in counts:
        one = trio.run(_measure, count)
        costs.append(one)
        print(
            f"| {one.entries} | {one.messages:.1f} | {one.message_bytes:.0f} "
            f"| {one.wire_bytes():.0f} | {one.reports:.1f} | {one.core * 100:.2f} "
            f"| {one.calls:.2f} "
            f"| {one.resident_bytes / 1e6:.0f} |",
            flush=True,
        )
    if len(costs) > 1:
        _print_line(costs)


def _print_line(costs: list[Cost]) -> None:
    messages = [one.messages + 2 * one.reports for one in costs]
    core = [one.core * 100 for one in costs]
    slope, start = statistics.linear_regression(messages, core)
    residual = max(abs(y - start - slope * x) for x, y in zip(messages, core, strict=True))
    print(f"core % = {start:.3f} + {slope:.4f} * (messages + 2 * reports)/s")
    print(f"largest residual {residual:.3f}")


async def _measure(count: int) -> Cost:
    made = entry_processes.Processes()
    for number in range(count):
        made.add(f"entry-{number:02d}", configuration.DATA_CENTRES[number % 3])
    try:
        await made.start_platform()
        await configuration.accept_preset(made, "ordinary")
        for entry in made.entries:
            made.start(entry)
        for entry in made.entries:
            await entry_processes.wait_answer(entry.callers, "/readyz")
        await trio.sleep(SETTLE_SECONDS)
        before = await _snapshot(made)
        await trio.sleep(WINDOW_SECONDS)
        after = await _snapshot(made)
        resident = statistics.mean(
            entry_processes.resident_bytes(one.process) for one in made.entries if one.process
        )
    finally:
        made.stop()
    seconds = after.at - before.at
    messages, message_bytes, reports = _totals(made)
    return Cost(
        entries=count,
        messages=messages,
        message_bytes=message_bytes,
        reports=reports,
        core=(after.core - before.core) / seconds / count,
        calls=(after.calls - before.calls) / seconds / count,
        resident_bytes=resident,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class _Snapshot:
    at: float
    core: float
    calls: int


async def _snapshot(made: entry_processes.Processes) -> _Snapshot:
    processes = [one.process for one in made.entries if one.process is not None]
    answer = await round_trip.send(
        tcp.make(),
        made.platform_address,
        message.Request("GET", "/v1/calls"),
        entry_processes.TIMEOUT_SECONDS,
        entry_processes.MAX_ANSWER_BYTES,
    )
    calls = msgspec.json.decode(answer.body, type=dict[str, int])
    core = sum(entry_processes.processor_seconds(one) for one in processes)
    return _Snapshot(time.monotonic(), core, sum(calls.values()))


def _totals(made: entry_processes.Processes) -> tuple[float, float, float]:
    """Return the mean messages, bytes and reports a second of an entry over its life."""
    messages, message_bytes, reports = [], [], []
    for entry in made.entries:
        total = entry_processes.events(entry, "peer.totals")[-1]
        seconds = total["seconds"]
        messages.append((total["sent"] + total["received"]) / seconds)
        message_bytes.append((total["sent_bytes"] + total["received_bytes"]) / seconds)
        reports.append(total["reports_received"] / seconds)
    return statistics.mean(messages), statistics.mean(message_bytes), statistics.mean(reports)


if __name__ == "__main__":
    main()
