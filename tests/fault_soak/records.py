"""Records of the requests that callers sent and targets received."""

from __future__ import annotations

import dataclasses

STREAM_KINDS = ("stream", "once")
"""Kinds of requests that are answered with a stream, which may be resumed or not."""


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request of a caller.

    :ivar entry_run: name and start count of the entry process that received the request.
    :ivar sent_at: when all its bytes were sent, 0 if they were not.
    :ivar is_reused: whether an earlier request was sent on its connection.
    :ivar has_bytes: whether any byte of an answer arrived.
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
    sent_at: float = 0.0
    is_reused: bool = False
    has_bytes: bool = False


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that arrived at a target, which runs it at once.

    :ivar ended_at: when the target had passed on its answer or broke off, 0 before that.
    :ivar born: the start of the target.
    """

    attempt: str
    target: str
    account: str
    arrived_at: float
    ended_at: float = 0.0
    born: int = 0


@dataclasses.dataclass(slots=True)
class Notice:
    """What a target said about further requests in its answer to one.

    :ivar born: the start of the target that said it.
    :ivar wait_seconds: how long it asked to be left alone, 0 if it said that it leaves.
    """

    attempt: str
    target: str
    born: int
    said_at: float
    wait_seconds: float = 0.0
