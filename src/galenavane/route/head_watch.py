"""Notices that a group stands still from the streams that an entry relays from its head.

Load that it answers: members fail while their group is busy. All streams of its head then fall
silent together, long before the head itself says so, whereas a healthy head sends an event of
each stream in every pass.
"""

from __future__ import annotations

import dataclasses
import enum

MAX_SILENT_PASSES = 1.9
"""Passes without any event after which members are checked; prompts make single passes long."""
CHECK_MARGIN_SECONDS = 0.04
"""Delay of the network, the loop and the relaying entry."""
PREFILL_MARGIN_SECONDS = 0.12
"""Longest time that prompts of other entries' requests add to a pass, mostly."""
FIRST_EVENT_FACTOR = 1.5
RECHECK_SECONDS = 0.3
STALL_SECONDS = 0.8
"""Silence of streams that have begun, after which the group counts as still in any case."""
FIRST_EVENT_STALL_SECONDS = 1.4
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


def record_send(activity: Activity, request_id: str, expected_seconds: float, now: float) -> None:
    """Take in that a request was sent."""
    activity.pending[request_id] = PendingRequest(now, expected_seconds)


def record_event(activity: Activity, request_id: str, now: float) -> None:
    """Take in an event of a request."""
    activity.last_event_at = now
    if request_id not in activity.streaming:
        activity.pending.pop(request_id, None)
        activity.streaming.add(request_id)


def record_end(activity: Activity, request_id: str) -> None:
    """Take in that a request is over."""
    activity.pending.pop(request_id, None)
    activity.streaming.discard(request_id)


def silent_seconds(activity: Activity, now: float) -> float:
    """Return for how long no request here had an event that it could have had."""
    if activity.streaming:
        return now - activity.last_event_at
    if not activity.pending:
        return 0.0
    first_sent_at = min(request.sent_at for request in activity.pending.values())
    return now - max(first_sent_at, activity.last_event_at)


def evaluate(activity: Activity, now: float) -> Verdict:
    """Return what the silence of a head calls for."""
    if activity.streaming:
        prefill_margin = PREFILL_MARGIN_SECONDS if activity.pending else 0.0
        limit = MAX_SILENT_PASSES * activity.pass_seconds + CHECK_MARGIN_SECONDS + prefill_margin
        stall_seconds = STALL_SECONDS
    elif activity.pending:
        oldest = min(activity.pending.values(), key=lambda request: request.sent_at)
        limit = FIRST_EVENT_FACTOR * oldest.expected_seconds + PREFILL_MARGIN_SECONDS
        stall_seconds = FIRST_EVENT_STALL_SECONDS
    else:
        return Verdict.HEALTHY
    silence = silent_seconds(activity, now)
    if silence >= stall_seconds:
        return Verdict.STALLED
    if silence >= limit and now >= activity.checked_at + RECHECK_SECONDS:
        return Verdict.CHECK
    return Verdict.HEALTHY
