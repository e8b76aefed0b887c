"""Header fields between callers and plain targets."""

from __future__ import annotations

from galenavane.net import message
from galenavane.serve import authenticated_request

REQUEST_ID = "x-request-id"
ACCOUNT = "x-account"
PSEUDONYM = "_galenavane"

# Callers may not set what the system tells targets, or see what targets tell the system.
_NOT_FROM_CALLERS = frozenset(
    {b"authorization", b"host", REQUEST_ID.encode(), ACCOUNT.encode(), b"x-deadline-seconds"}
)
_NOT_TO_CALLERS = frozenset({REQUEST_ID.encode(), b"idempotent-replay"})


def make_request(
    caller: authenticated_request.AuthenticatedRequest, target: str
) -> message.Request:
    """Return a caller's request as a target gets it."""
    req = caller.exchange.request
    fields = req.headers.end_to_end().without(_NOT_FROM_CALLERS)
    fields.add("forwarded", f"by={PSEUDONYM}")
    fields.add(REQUEST_ID, caller.request_id)
    fields.add(ACCOUNT, caller.account.name)
    return message.Request(req.method, target, fields, req.body)


def filter_response(answer: message.Response) -> message.Response:
    """Return a target's answer as callers may get it."""
    fields = answer.headers.end_to_end().without(_NOT_TO_CALLERS)
    return message.Response(answer.status, fields, answer.body)
