"""Notices that a group stands still from the streams that an entry relays from its head.

Load that it answers: members fail while their group is busy. All streams of its head then fall
silent together, long before the head itself says so, whereas a healthy head sends an event of
each stream in every pass.
"""

from __future__ import annotations

import dataclasses
import enum

BEATS = 1.9
"""Passes without any event after which members are checked; prompts make single passes long."""
CHECK_MARGIN_SECONDS = 0.04
"""Delay of the network, the loop and the relaying entry."""
READ_MARGIN_SECONDS = 0.12
"""Longest time that prompts of other entries' requests add to a pass, mostly."""
FIRST_FACTOR = 1.5
RECHECK_SECONDS = 0.3
STILL_SECONDS = 0.8
"""Silence of streams that have begun, after which the group counts as still in any case."""
STILL_FIRST_SECONDS = 1.4
"""The same for requests without a first event, which may wait for their turn."""


class Verdict(enum.Enum):
    """What to do about a head."""

    HEALTHY = "healthy"
    CHECK = "check"
    STALLED = "stalled"


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request without an event yet.

    :ivar expected_seconds: predicted time to its first event.
    """

    sent_at: float
    expected_seconds: float


@dataclasses.dataclass(slots=True)
class Activity:
    """The requests of one entry at one head.

    :ivar pass_seconds: time between two events of a stream, by the engine's constants.
    :ivar streaming: requests that have had an event.
    """

    pass_seconds: float
    last_event_at: float = float("-inf")
    checked_at: float = float("-inf")
    streaming: set[str] = dataclasses.field(default_factory=set)
    pending: dict[str, PendingRequest] = dataclasses.field(default_factory=dict)


def record_send(state: Activity, request: str, expected_seconds: float, now: float) -> None:
    """Take in that a request was sent."""
    state.pending[request] = PendingRequest(now, expected_seconds)


def record_event(state: Activity, request: str, now: float) -> None:
    """Take in an event of a request."""
    state.last_event_at = now
    if request not in state.streaming:
        state.pending.pop(request, None)
        state.streaming.add(request)


def record_end(state: Activity, request: str) -> None:
    """Take in that a request is over."""
    state.pending.pop(request, None)
    state.streaming.discard(request)


def silent_seconds(state: Activity, now: float) -> float:
    """Return for how long no request here had an event that it could have had."""
    if state.streaming:
        return now - state.last_event_at
    if not state.pending:
        return 0.0
    first = min(one.sent_at for one in state.pending.values())
    return now - max(first, state.last_event_at)


def evaluate(state: Activity, now: float) -> Verdict:
    """Return what the silence of a head calls for."""
    if state.streaming:
        reading = READ_MARGIN_SECONDS if state.pending else 0.0
        limit = BEATS * state.pass_seconds + CHECK_MARGIN_SECONDS + reading
        still = STILL_SECONDS
    elif state.pending:
        first = min(state.pending.values(), key=lambda one: one.sent_at)
        limit = FIRST_FACTOR * first.expected_seconds + READ_MARGIN_SECONDS
        still = STILL_FIRST_SECONDS
    else:
        return Verdict.HEALTHY
    silent = silent_seconds(state, now)
    if silent >= still:
        return Verdict.STALLED
    if silent >= limit and now >= state.checked_at + RECHECK_SECONDS:
        return Verdict.CHECK
    return Verdict.HEALTHY
