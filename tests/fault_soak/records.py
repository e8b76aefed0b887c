"""Records of the requests that callers sent and targets received."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request of a caller.

    :ivar entry_run: name and start count of the entry process that received the request.
    :ivar status: HTTP status, 0 without a complete response.
    :ivar events: numbers of the received events of a stream.
    :ivar expected: number of events of the complete stream.
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
    """A request that arrived at a target, which runs it at once."""

    attempt: str
    target: str
    account: str
    arrived_at: float
