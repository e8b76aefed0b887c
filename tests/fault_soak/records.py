"""What callers and targets saw."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One request of a caller.

    :ivar entry_run: name and life of the entry process that it went to.
    :ivar status: 0 when there was no whole answer.
    :ivar events: numbers of the events that came, for a stream.
    :ivar expected: events of the whole stream.
    """

    attempt: str
    kind: str
    entry_run: str
    started_at: float
    key: str = ""
    status: int = 0
    is_complete: bool = False
    events: list[int] = dataclasses.field(default_factory=list)
    expected: int = 0
    ended_at: float = 0.0
    note: str = ""


@dataclasses.dataclass(slots=True)
class Arrival:
    """One request at a target, which runs it at once."""

    attempt: str
    target: str
    account: str
    arrived_at: float
