"""Shares reports of targets between the entries of a data centre.

A report that a peer confirms is dated by the own monotonic clock: the peer echoes the number of
this entry's last message, so its message was sent after that one. No clocks are compared, and a
message that waited in a queue is dated as old as it may be.
"""

from __future__ import annotations

import dataclasses
from collections import abc

import msgspec

from galenavane.peer import target_reports
from galenavane.target import report

MESSAGES_PER_FULL = 20
LOAD_CHANGE_FRACTION = 0.1
MAX_SENT_TIMES = 64
_NO_LOAD = report.Load()


@dataclasses.dataclass(slots=True)
class SendState:
    """What this entry has told.

    :ivar started_ms: start of this entry, which tells its numbers from an earlier start's.
    :ivar sent_at: monotonic time of sending by message number, the last few.
    :ivar last_reports: report by instance, as told last.
    :ivar is_full_due: whether the next message has to be full.
    """

    started_ms: int
    number: int = 0
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)
    last_reports: dict[str, report.Report] = dataclasses.field(default_factory=dict)
    is_full_due: bool = True


@dataclasses.dataclass(slots=True)
class ReceiveState:
    """What one peer has told.

    :ivar confirmed_at: monotonic time at which every row was certainly true.
    :ivar is_complete: whether no message was lost since the last full one.
    """

    started_ms: int
    number: int = 0
    confirmed_at: float = float("-inf")
    is_complete: bool = False
    reports: dict[str, report.Report] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class ReportChanges:
    """The part of a message that is the same for every receiver."""

    number: int
    age_ms: int
    is_full: bool
    rows: list[report.Report]
    loads: list[target_reports.LoadRow]
    gone: list[str]


def next_changes(
    out: SendState, confirmed: abc.Mapping[str, report.Report], oldest_at: float, now: float
) -> ReportChanges:
    """Return what to tell now of the reports that this entry itself has confirmed."""
    out.number += 1
    out.sent_at[out.number] = now
    out.sent_at.pop(out.number - MAX_SENT_TIMES, None)
    is_full = out.is_full_due or out.number % MESSAGES_PER_FULL == 0
    out.is_full_due = False
    before = {} if is_full else out.last_reports
    rows = [one for name, one in confirmed.items() if _has_changed(before.get(name), one)]
    fresh = {one.instance for one in rows}
    loads = [
        _load_row(one)
        for name, one in confirmed.items()
        if name not in fresh and _has_load_changed(before[name], one)
    ]
    gone = [name for name in before if name not in confirmed]
    fresh.update(row.instance for row in loads)
    out.last_reports = {
        name: one if name in fresh else before[name] for name, one in confirmed.items()
    }
    age_ms = int((now - min(oldest_at, now)) * 1000)
    return ReportChanges(out.number, age_ms, is_full, rows, loads, gone)


def apply_message(box: ReceiveState, message: target_reports.TargetReports, out: SendState) -> bool:
    """Take in a peer's message; return whether nothing is missing."""
    if message.started_ms != box.started_ms or message.number <= box.number:
        return box.is_complete
    if message.wants_full:
        out.is_full_due = True
    has_gap = message.number != box.number + 1
    box.number = message.number
    if message.is_full:
        box.reports = {}
        box.is_complete = True
    elif has_gap:
        box.is_complete = False
    if not box.is_complete:
        box.reports = {}
        return False
    _apply_rows(box, message)
    echoed_at = out.sent_at.get(message.echo)
    if echoed_at is not None and message.echo_started_ms == out.started_ms:
        box.confirmed_at = max(box.confirmed_at, echoed_at - message.age_ms / 1000)
    return True


def _apply_rows(box: ReceiveState, message: target_reports.TargetReports) -> None:
    for row in message.rows:
        box.reports[row.instance] = row
    for load in message.loads:
        known = box.reports.get(load.instance)
        if known is not None:
            box.reports[load.instance] = _with_load(known, load)
    for name in message.gone:
        box.reports.pop(name, None)


def _has_changed(before: report.Report | None, one: report.Report) -> bool:
    if before is None:
        return True
    return _without_load(before) != _without_load(one)


def _without_load(one: report.Report) -> report.Report:
    return msgspec.structs.replace(one, load=_NO_LOAD, finished=0)


def _has_load_changed(before: report.Report, one: report.Report) -> bool:
    old, new = before.load, one.load
    step = max(1.0, new.capacity * LOAD_CHANGE_FRACTION)
    if abs(old.running + old.waiting - new.running - new.waiting) >= step:
        return True
    return (old.running == 0) != (new.running == 0)


def _load_row(one: report.Report) -> target_reports.LoadRow:
    load = one.load
    return target_reports.LoadRow(
        one.instance, load.running, load.waiting, load.waiting_prefill_tokens, one.finished
    )


def _with_load(known: report.Report, row: target_reports.LoadRow) -> report.Report:
    load = msgspec.structs.replace(
        known.load,
        running=row.running,
        waiting=row.waiting,
        waiting_prefill_tokens=row.waiting_prefill_tokens,
    )
    return msgspec.structs.replace(known, load=load, finished=row.finished)
