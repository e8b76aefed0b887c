"""Decides what a broken exchange with a target proves about the request."""

from __future__ import annotations

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.net import message, transport_error

NOT_RUN_HEADER = "x-not-run"
RETRY_AFTER_SECONDS = 1.0

_Kind = transport_error.Kind
_Outcome = outcomes.Outcome
_GATEWAY_STATUSES = (502, 503, 504)
_SEVERITY = {_Outcome.NOT_RUN: 0, _Outcome.UNKNOWN: 1, _Outcome.FAILED: 2, _Outcome.ANSWERED: 3}


def classify_error(exc: transport_error.TransportError) -> failure.Failure:
    """Return what a transport error proves: without a byte sent the request was not run."""
    if not exc.has_sent_bytes:
        return failure.Failure(
            codes.Code.TARGET_UNREACHABLE, str(exc), _Outcome.NOT_RUN, RETRY_AFTER_SECONDS
        )
    if exc.kind is _Kind.TOO_LARGE:
        text = f"the target ran the request, but its answer is too large: {exc}"
        return failure.Failure(codes.Code.TARGET_FAILED, text, _Outcome.FAILED)
    code = codes.Code.TARGET_SILENT if exc.kind is _Kind.SILENT else codes.Code.TARGET_LOST
    return failure.Failure(code, str(exc), _Outcome.UNKNOWN)


def is_refusal(response: message.Response) -> bool:
    """Whether the target says that it refused the request before running it."""
    return response.status >= 400 and response.headers.get(NOT_RUN_HEADER) == "1"


def classify_response(response: message.Response) -> failure.Failure | None:
    """Return the failure of a response head, or ``None`` for an answer to pass on."""
    text = f"the target answered with status {response.status}"
    if is_refusal(response):
        return failure.Failure(
            codes.Code.TARGET_REFUSED, text, _Outcome.NOT_RUN, RETRY_AFTER_SECONDS
        )
    if response.status in _GATEWAY_STATUSES:
        return failure.Failure(codes.Code.TARGET_LOST, text, _Outcome.UNKNOWN)
    if response.status >= 500:
        return failure.Failure(codes.Code.TARGET_FAILED, text, _Outcome.FAILED)
    return None


def choose_worse(earlier: failure.Failure | None, later: failure.Failure) -> failure.Failure:
    """Return which of two failed tries the caller is told: the one that may have run more."""
    if earlier is None or _SEVERITY[later.outcome] >= _SEVERITY[earlier.outcome]:
        return later
    return earlier


def may_retry(failed: failure.Failure, is_idempotent: bool) -> bool:
    """Whether the same request may be sent to a target again."""
    return is_idempotent or failed.outcome is _Outcome.NOT_RUN
