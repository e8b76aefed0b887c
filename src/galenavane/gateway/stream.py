"""Progress of one client's stream."""

from __future__ import annotations

import dataclasses

from galenavane.catalog import engine
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.gateway import admission

MAX_REFUSALS = 2
_Outcome = outcomes.Outcome


@dataclasses.dataclass(slots=True)
class Stream:
    """Progress of one client's stream over all targets that it was sent to.

    :ivar last_event: number of the last event that the client has.
    :ivar is_started: whether the client was sent any event.
    :ivar events: number of events that targets sent.
    :ivar sends: number of targets that may have run the request.
    :ivar refusals: number of targets that refused the request or a connection.
    :ivar parts: names of the shared parts of the prompt.
    :ivar probed_parts: suspected parts of the prompt that this request is a probe of.
    :ivar probe_sends: number of sends before it became a probe.
    :ivar tried_heads: ids of the heads that were tried.
    :ivar reported_failure: failure to answer with if no head serves the request.
    """

    request: admission.AdmittedRequest
    constants: engine.Engine
    last_event: int
    is_started: bool = False
    events: int = 0
    sends: int = 0
    refusals: int = 0
    parts: tuple[str, ...] = ()
    probed_parts: tuple[str, ...] = ()
    probe_sends: int = 0
    tried_heads: set[str] = dataclasses.field(default_factory=set)
    reported_failure: failure.Failure | None = None


def record_failure(stream: Stream, send_failure: failure.Failure) -> None:
    """Record an attempt's failure; the first one after which the request may have run counts."""
    if stream.reported_failure is None or stream.reported_failure.outcome is _Outcome.NOT_RUN:
        stream.reported_failure = send_failure


def may_retry(stream: Stream, send_failure: failure.Failure) -> bool:
    """Whether another target may be tried after a failure."""
    if send_failure.outcome is _Outcome.NOT_RUN:
        return stream.refusals <= MAX_REFUSALS
    return may_send_again(stream)


def may_send_again(stream: Stream) -> bool:
    """Whether a target may be tried although another one may have run the request."""
    return stream.request.route.is_retryable and stream.sends < stream.request.route.max_sends


def may_hedge(stream: Stream) -> bool:
    """Whether another target may be tried beside one that may still answer."""
    return may_send_again(stream) and stream.refusals <= MAX_REFUSALS
