"""Message with which an entry shares the reports of the targets that it polls."""

from __future__ import annotations

import msgspec

from galenavane.target import report


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """Changed load of an instance whose report is otherwise unchanged.

    See ``report.Load`` and ``report.Report`` for the fields.
    """

    instance: str
    running: int
    waiting: int
    waiting_prefill_tokens: int
    finished: int


class TargetReports(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Changed reports; all other reports of this sender are confirmed as unchanged.

    :ivar protocol: messages of another version are dropped.
    :ivar started_ms: wall clock at the start of the sender, in milliseconds; after a new start all
        earlier messages of the sender are void.
    :ivar number: message number of the sender, without gaps; a gap means lost changes.
    :ivar echo: number of the last message that the sender received from the receiver, 0 for none.
    :ivar echo_started_ms: start of the receiver as known to the sender, in milliseconds.
    :ivar wants_full: whether the sender has missed changes of the receiver and needs a full
        message.
    :ivar age_ms: age of the oldest confirmed report at the time of sending, in milliseconds.
    :ivar is_full: whether ``rows`` contains every report that the sender confirms.
    :ivar rows: reports that changed in more than their load.
    :ivar loads: loads that changed while the rest of the report did not.
    :ivar gone: instances whose reports are no longer confirmed.
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
