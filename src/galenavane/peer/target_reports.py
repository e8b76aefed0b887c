"""What an entry tells the entries of its data centre about the targets that it asks."""

from __future__ import annotations

import msgspec

from galenavane.target import report


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """Changed load of an instance whose report is otherwise the same."""

    instance: str
    running: int
    waiting: int
    waiting_prefill_tokens: int
    finished: int


class TargetReports(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Reports that changed; all others of this sender are confirmed as they were.

    :ivar started_ms: start of the sender; another one makes everything told before void.
    :ivar number: counts the sender's messages; a gap means lost changes.
    :ivar echo: number of the receiver's message that the sender heard last, 0 for none.
    :ivar echo_started_ms: start of the receiver as the sender knows it.
    :ivar wants_full: whether the sender has lost changes of the receiver.
    :ivar age_ms: age of the oldest confirmed report at the moment of sending.
    :ivar is_full: whether the rows are all that the sender confirms.
    :ivar gone: instances that are no longer confirmed.
    """

    protocol: int
    name: str
    started_ms: int
    number: int
    echo: int
    echo_started_ms: int
    wants_full: bool
    age_ms: int
    is_full: bool
    rows: list[report.Report]
    loads: list[LoadRow]
    gone: list[str]
