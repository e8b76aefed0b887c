"""Maps transport errors and responses of targets to failures and outcomes."""

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
    """Return the failure for a transport error.

    A request of which no byte was sent was not executed.
    """
    if not exc.has_sent_bytes:
        return failure.Failure(
            codes.Code.TARGET_UNREACHABLE, str(exc), _Outcome.NOT_RUN, RETRY_AFTER_SECONDS
        )
    if exc.kind is _Kind.TOO_LARGE:
        text = f"the target executed the request, but its response is too large: {exc}"
        return failure.Failure(codes.Code.TARGET_FAILED, text, _Outcome.FAILED)
    code = codes.Code.TARGET_SILENT if exc.kind is _Kind.SILENT else codes.Code.TARGET_LOST
    return failure.Failure(code, str(exc), _Outcome.UNKNOWN)


def is_refusal(response: message.Response) -> bool:
    """Return whether the target states that it refused the request before executing it."""
    return response.status >= 400 and response.headers.get(NOT_RUN_HEADER) == "1"


def classify_response(response: message.Response) -> failure.Failure | None:
    """Return the failure for a response head, or ``None`` for a response to forward."""
    text = f"the target responded with status {response.status}"
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
    """Return the failure to report to the caller: the one that more likely executed the request."""
    if earlier is None or _SEVERITY[later.outcome] >= _SEVERITY[earlier.outcome]:
        return later
    return earlier


def may_retry(error: failure.Failure, is_idempotent: bool) -> bool:
    """Return whether the request may be sent to a target again."""
    return is_idempotent or error.outcome is _Outcome.NOT_RUN
