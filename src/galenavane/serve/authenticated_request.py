"""Authenticates callers' requests by their bearer keys."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac

import expression

from galenavane.config import declaration
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.net import http_server

DEADLINE_HEADER = "x-deadline-seconds"
PRIORITY_HEADER = "x-priority"
LOWEST_PRIORITY = 9
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
REQUEST_ID_HEADER = "x-request-id"
DEFAULT_DEADLINE_SECONDS = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class AuthenticatedRequest:
    """A request and the client account that sent it.

    :ivar request_id: unique id that this entry assigned.
    :ivar idempotency_key: empty when the caller sent none.
    :ivar deadline: monotonic time in seconds after which the response is useless.
    """

    exchange: http_server.Exchange
    request_id: str
    account: declaration.Account
    idempotency_key: str
    deadline: float


def authenticate(
    exchange: http_server.Exchange,
    declarations: declaration.Declarations,
    request_id: str,
    now: float,
) -> expression.Result[AuthenticatedRequest, failure.Failure]:
    """Identify the account by the request's bearer key.

    :param now: monotonic time in seconds.
    :returns: the request with its account, or the failure ``UNKNOWN_ACCOUNT``.
    """
    headers = exchange.request.headers
    scheme, _, bearer_key = headers.get("authorization").partition(" ")
    account = _find_account(declarations, bearer_key) if scheme.lower() == "bearer" else None
    if account is None:
        text = "the bearer key belongs to no account"
        return expression.Error(failure.Failure(codes.Code.UNKNOWN_ACCOUNT, text))
    timeout_seconds = _parse_seconds(headers.get(DEADLINE_HEADER))
    idempotency_key = headers.get(IDEMPOTENCY_KEY_HEADER)
    return expression.Ok(
        AuthenticatedRequest(exchange, request_id, account, idempotency_key, now + timeout_seconds)
    )


def _find_account(
    declarations: declaration.Declarations, bearer_key: str
) -> declaration.Account | None:
    digest = hashlib.sha256(bearer_key.encode()).hexdigest()
    matching = None
    for account in declarations.accounts:
        if hmac.compare_digest(account.key_sha256, digest):
            matching = account
    return matching


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        return DEFAULT_DEADLINE_SECONDS
    return seconds if 0 < seconds < DEFAULT_DEADLINE_SECONDS * 10 else DEFAULT_DEADLINE_SECONDS
