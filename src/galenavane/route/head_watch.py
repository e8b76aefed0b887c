"""Detects stalled groups from the streams that an entry relays from their heads (leaders).

When a member fails while its group is busy, all streams of the group's head stop together, long
before the head itself reports the failure. A healthy head sends an event on each stream in every
batch pass.
"""

from __future__ import annotations

import dataclasses
import enum
import math

MAX_SILENT_PASSES = 1.9
"""Passes without any event after which members are checked; prefill makes some passes long."""
CHECK_MARGIN_SECONDS = 0.04
"""Allowance for delays of the network, the event loop and the relaying entry."""
PREFILL_MARGIN_SECONDS = 0.12
"""Time that the prefill of other entries' requests adds to a pass at most, in most cases."""
FIRST_EVENT_FACTOR = 1.5
RECHECK_SECONDS = 0.3
STALL_SECONDS = 0.8
"""Silence of started streams after which the head counts as stalled whatever its members answer."""
FIRST_EVENT_STALL_SECONDS = 1.4
"""The same limit when no stream has started, since requests may be queued at the head."""


class Verdict(enum.Enum):
    """Assessment of a head.

    ``CHECK`` means that the members of its group are to be checked. ``STALLED`` is returned until
    ``Activity.is_stalled`` is set: other groups are to be tried for its streams, while it may still
    go on.
    """

    HEALTHY = "healthy"
    CHECK = "check"
    STALLED = "stalled"


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request without any event so far.

    :ivar sent_at: monotonic time of the send.
    :ivar expected_seconds: predicted time to its first event.
    """

    sent_at: float
    expected_seconds: float


@dataclasses.dataclass(slots=True)
class Activity:
    """The requests of one entry at one head.

    :ivar pass_seconds: time between two events of a stream, from the engine's constants.
    :ivar last_event_at: monotonic time of the last event of any stream.
    :ivar checked_at: monotonic time of the last check of the members.
    :ivar is_stalled: whether the head has been assessed as stalled since its last event.
    :ivar streaming: requests that have had an event.
    :ivar pending: requests without an event by request id.
    """

    pass_seconds: float
    last_event_at: float = float("-inf")
    checked_at: float = float("-inf")
    is_stalled: bool = False
    streaming: set[str] = dataclasses.field(default_factory=set)
    pending: dict[str, PendingRequest] = dataclasses.field(default_factory=dict)


def record_send(activity: Activity, request_id: str, expected_seconds: float, now: float) -> None:
    """Record that a request was sent."""
    activity.pending[request_id] = PendingRequest(now, expected_seconds)


def record_event(activity: Activity, request_id: str, now: float) -> float | None:
    """Record an event of a request.

    :returns: the silence in seconds that it has ended, if the head was assessed as stalled.
    """
    ended_seconds = silent_seconds(activity, now) if activity.is_stalled else None
    activity.last_event_at = now
    activity.is_stalled = False
    if request_id not in activity.streaming:
        activity.pending.pop(request_id, None)
        activity.streaming.add(request_id)
    return ended_seconds


def record_end(activity: Activity, request_id: str) -> None:
    """Record that a request has ended."""
    activity.pending.pop(request_id, None)
    activity.streaming.discard(request_id)
    if not activity.pending and not activity.streaming:
        activity.is_stalled = False


def silent_seconds(activity: Activity, now: float) -> float:
    """Return the seconds without any event while requests were in progress."""
    if activity.streaming:
        return now - activity.last_event_at
    if not activity.pending:
        return 0.0
    first_sent_at = min(request.sent_at for request in activity.pending.values())
    return now - max(first_sent_at, activity.last_event_at)


def evaluate(activity: Activity, now: float) -> Verdict:
    """Return the assessment of a head after its silence so far."""
    limits = _compute_limits(activity)
    if limits is None:
        return Verdict.HEALTHY
    check_seconds, stall_seconds = limits
    silence = silent_seconds(activity, now)
    if silence >= stall_seconds and not activity.is_stalled:
        return Verdict.STALLED
    if silence >= check_seconds and now >= activity.checked_at + RECHECK_SECONDS:
        return Verdict.CHECK
    return Verdict.HEALTHY


def next_evaluation_at(activity: Activity, now: float) -> float:
    """Return the monotonic time before which a head stays healthy even without an event."""
    limits = _compute_limits(activity)
    if limits is None:
        return math.inf
    check_seconds, stall_seconds = limits
    silent_since = now - silent_seconds(activity, now)
    check_at = max(silent_since + check_seconds, activity.checked_at + RECHECK_SECONDS)
    return check_at if activity.is_stalled else min(check_at, silent_since + stall_seconds)


def _compute_limits(activity: Activity) -> tuple[float, float] | None:
    """Return the silences in seconds after which to check the members and to see a stall.

    :returns: ``None`` if the entry has no requests at the head.
    """
    if activity.streaming:
        prefill_margin = PREFILL_MARGIN_SECONDS if activity.pending else 0.0
        limit = MAX_SILENT_PASSES * activity.pass_seconds + CHECK_MARGIN_SECONDS + prefill_margin
        return limit, STALL_SECONDS
    if activity.pending:
        oldest = min(activity.pending.values(), key=lambda request: request.sent_at)
        limit = FIRST_EVENT_FACTOR * oldest.expected_seconds + PREFILL_MARGIN_SECONDS
        return limit, FIRST_EVENT_STALL_SECONDS
    return None
