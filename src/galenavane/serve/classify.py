"""Decides what a broken exchange with a target proves about the request."""

from __future__ import annotations

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.net import message, transport_error

NOT_RUN_HEADER = "x-not-run"
RETRY_AFTER_SECONDS = 1.0

_Kind = transport_error.Kind


def broken(exc: transport_error.TransportError) -> failure.Failure:
    """Return what a transport error proves: without a byte sent the request was not run."""
    if not exc.bytes_sent:
        return failure.Failure(
            codes.Code.TARGET_UNREACHABLE,
            str(exc),
            outcomes.Outcome.NOT_RUN,
            RETRY_AFTER_SECONDS,
        )
    code = codes.Code.TARGET_SILENT if exc.kind is _Kind.SILENT else codes.Code.TARGET_LOST
    return failure.Failure(code, str(exc), outcomes.Outcome.UNKNOWN)


def refused(response: message.Response) -> failure.Failure | None:
    """Return the failure of a response head, or ``None`` for an answer to pass on."""
    if response.headers.get(NOT_RUN_HEADER):
        text = f"the target refused with status {response.status}"
        return failure.Failure(
            codes.Code.TARGET_REFUSED, text, outcomes.Outcome.NOT_RUN, RETRY_AFTER_SECONDS
        )
    if response.status >= 500:
        text = f"the target failed with status {response.status}"
        return failure.Failure(codes.Code.TARGET_FAILED, text, outcomes.Outcome.FAILED)
    return None


def may_retry(found: failure.Failure, is_idempotent: bool) -> bool:
    """Whether the same request may be sent to a target again."""
    if found.outcome is outcomes.Outcome.NOT_RUN:
        return True
    return is_idempotent and found.outcome is not outcomes.Outcome.ANSWERED
