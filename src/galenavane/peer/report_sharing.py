"""Shares reports of targets between the entries of a data centre.

A report that a peer confirms is dated by the receiver's own monotonic clock: the peer echoes the
number of the last message that it got from the receiver, so it sent its own after that one. Clocks
of different entries are never compared, and a message that was delayed in a queue gets the earliest
possible time.
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
    """State of sending to all peers.

    :ivar started_ms: wall clock at the start of this entry, in milliseconds; distinguishes its
        message numbers from those of an earlier start.
    :ivar number: number of the last message sent.
    :ivar sent_at: monotonic time of sending of the last ``MAX_SENT_TIMES`` messages, by number.
    :ivar last_reports: report last sent, by instance name.
    :ivar is_full_due: whether the next message has to contain every report.
    """

    started_ms: int
    number: int = 0
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)
    last_reports: dict[str, report.Report] = dataclasses.field(default_factory=dict)
    is_full_due: bool = True


@dataclasses.dataclass(slots=True)
class ReceiveState:
    """State of receiving from one peer.

    :ivar started_ms: start of the peer, by its own wall clock in milliseconds.
    :ivar number: number of the last message received.
    :ivar confirmed_at: monotonic time that none of the reports is older than, in seconds.
    :ivar is_complete: whether no message was lost since the last full one.
    :ivar reports: report by instance name, empty while incomplete.
    """

    started_ms: int
    number: int = 0
    confirmed_at: float = float("-inf")
    is_complete: bool = False
    reports: dict[str, report.Report] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class ReportChanges:
    """Part of a message that is the same for every receiver; see ``TargetReports``."""

    number: int
    age_ms: int
    is_full: bool
    rows: list[report.Report]
    loads: list[target_reports.LoadRow]
    gone: list[str]


def compute_changes(
    send_state: SendState, confirmed: abc.Mapping[str, report.Report], oldest_at: float, now: float
) -> ReportChanges:
    """Return the changes to send now.

    :param confirmed: reports that this entry itself has polled, by instance name.
    :param oldest_at: monotonic time of the oldest of these reports, in seconds.
    """
    send_state.number += 1
    send_state.sent_at[send_state.number] = now
    send_state.sent_at.pop(send_state.number - MAX_SENT_TIMES, None)
    is_full = send_state.is_full_due or send_state.number % MESSAGES_PER_FULL == 0
    send_state.is_full_due = False
    before = {} if is_full else send_state.last_reports
    rows = [
        current for name, current in confirmed.items() if _has_changed(before.get(name), current)
    ]
    changed_names = {current.instance for current in rows}
    loads = [
        _make_load_row(current)
        for name, current in confirmed.items()
        if name not in changed_names and _has_load_changed(before[name], current)
    ]
    gone = [name for name in before if name not in confirmed]
    changed_names.update(row.instance for row in loads)
    send_state.last_reports = {
        name: current if name in changed_names else before[name]
        for name, current in confirmed.items()
    }
    age_ms = int((now - min(oldest_at, now)) * 1000)
    return ReportChanges(send_state.number, age_ms, is_full, rows, loads, gone)


def apply_message(
    receive_state: ReceiveState, message: target_reports.TargetReports, send_state: SendState
) -> bool:
    """Apply a peer's message; return whether no earlier change is missing."""
    if message.started_ms != receive_state.started_ms or message.number <= receive_state.number:
        return receive_state.is_complete
    if message.wants_full:
        send_state.is_full_due = True
    has_gap = message.number != receive_state.number + 1
    receive_state.number = message.number
    if message.is_full:
        receive_state.reports = {}
        receive_state.is_complete = True
    elif has_gap:
        receive_state.is_complete = False
    if not receive_state.is_complete:
        receive_state.reports = {}
        return False
    _apply_rows(receive_state, message)
    echoed_at = send_state.sent_at.get(message.echo)
    if echoed_at is not None and message.echo_started_ms == send_state.started_ms:
        receive_state.confirmed_at = max(
            receive_state.confirmed_at, echoed_at - message.age_ms / 1000
        )
    return True


def _apply_rows(receive_state: ReceiveState, message: target_reports.TargetReports) -> None:
    for row in message.rows:
        receive_state.reports[row.instance] = row
    for load in message.loads:
        known = receive_state.reports.get(load.instance)
        if known is not None:
            receive_state.reports[load.instance] = _replace_load(known, load)
    for name in message.gone:
        receive_state.reports.pop(name, None)


def _has_changed(before: report.Report | None, current: report.Report) -> bool:
    if before is None:
        return True
    return _strip_load(before) != _strip_load(current)


def _strip_load(target_report: report.Report) -> report.Report:
    return msgspec.structs.replace(target_report, load=_NO_LOAD, finished=0)


def _has_load_changed(before: report.Report, current: report.Report) -> bool:
    old, new = before.load, current.load
    threshold = max(1.0, new.capacity * LOAD_CHANGE_FRACTION)
    if abs(old.running + old.waiting - new.running - new.waiting) >= threshold:
        return True
    return (old.running == 0) != (new.running == 0)


def _make_load_row(target_report: report.Report) -> target_reports.LoadRow:
    load = target_report.load
    return target_reports.LoadRow(
        target_report.instance,
        load.running,
        load.waiting,
        load.waiting_prefill_tokens,
        target_report.finished,
    )


def _replace_load(known: report.Report, row: target_reports.LoadRow) -> report.Report:
    load = msgspec.structs.replace(
        known.load,
        running=row.running,
        waiting=row.waiting,
        waiting_prefill_tokens=row.waiting_prefill_tokens,
    )
    return msgspec.structs.replace(known, load=load, finished=row.finished)
