"""Rewrites header fields of requests to and responses from plain targets."""

from __future__ import annotations

from galenavane.net import message
from galenavane.serve import authenticated_request

REQUEST_ID_HEADER = "x-request-id"
ACCOUNT_HEADER = "x-account"
PSEUDONYM = "_galenavane"

# Callers may not set fields that entries set for targets, nor see fields meant for entries.
_RESERVED_REQUEST_FIELDS = frozenset(
    {
        b"authorization",
        b"host",
        REQUEST_ID_HEADER.encode(),
        ACCOUNT_HEADER.encode(),
        b"x-deadline-seconds",
    }
)
_HIDDEN_RESPONSE_FIELDS = frozenset({REQUEST_ID_HEADER.encode(), b"idempotent-replay"})


def make_request(
    auth_req: authenticated_request.AuthenticatedRequest, target: str
) -> message.Request:
    """Return a caller's request as it is forwarded to a target."""
    req = auth_req.exchange.request
    fields = req.headers.end_to_end().without(_RESERVED_REQUEST_FIELDS)
    fields.add("forwarded", f"by={PSEUDONYM}")
    fields.add(REQUEST_ID_HEADER, auth_req.request_id)
    fields.add(ACCOUNT_HEADER, auth_req.account.name)
    return message.Request(req.method, target, fields, req.body)


def filter_response(response: message.Response) -> message.Response:
    """Return a target's response without the fields that callers must not see."""
    fields = response.headers.end_to_end().without(_HIDDEN_RESPONSE_FIELDS)
    return message.Response(response.status, fields, response.body)
