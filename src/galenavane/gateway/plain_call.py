"""A request to a service without replica groups, and what its attempts have shown so far."""

from __future__ import annotations

import dataclasses

from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.gateway import admission

_Outcome = outcomes.Outcome


@dataclasses.dataclass(slots=True)
class PlainCall:
    """A request and its attempts.

    :ivar tried_ids: targets that it was sent to, or that could not be reached.
    :ivar silent_ids: targets that it was sent to and that count as silent.
    :ivar sends: how often it was sent, refused sends included.
    :ivar reported_failure: failure to answer with if no other attempt answers.
    :ivar last_event: number of the last event of a stream that the client has.
    :ivar events: number of events that targets sent.
    :ivar is_started: whether the client was sent any event.
    """

    request: admission.AdmittedRequest
    tried_ids: set[str] = dataclasses.field(default_factory=set)
    silent_ids: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    reported_failure: failure.Failure | None = None
    last_event: int = 0
    events: int = 0
    is_started: bool = False


def record_failure(call: PlainCall, send_failure: failure.Failure) -> None:
    """Record an attempt's failure; the first one after which the request may have run counts."""
    if call.reported_failure is None or call.reported_failure.outcome is _Outcome.NOT_RUN:
        call.reported_failure = send_failure


def may_send_again(call: PlainCall, is_under_way: bool) -> bool:
    """Whether the request may be sent to another target.

    :param is_under_way: whether an attempt that is in progress has sent it.
    """
    if call.sends == 0:
        return True
    if call.sends >= call.request.route.max_sends:
        return False
    earlier = call.reported_failure
    may_have_run = is_under_way or (earlier is not None and earlier.outcome is not _Outcome.NOT_RUN)
    return call.request.route.is_retryable or not may_have_run


def is_last(call: PlainCall) -> bool:
    """Whether no further send is allowed whatever the one in progress shows."""
    route = call.request.route
    return call.sends >= route.max_sends or not route.is_retryable
