"""Numbered errors as HTTP responses."""

from __future__ import annotations

import math

import msgspec

from galenavane.failure import failure, table
from galenavane.net import message


class ErrorDetail(msgspec.Struct, frozen=True):
    """What a caller learns of a failure."""

    code: int
    name: str
    outcome: str
    message: str
    request_id: str
    retry_after_seconds: float | None


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response."""

    error: ErrorDetail


def response(found: failure.Failure, request_id: str) -> message.Response:
    """Build the response that tells a caller of a failure."""
    detail = ErrorDetail(
        found.code.value,
        found.code.name.lower(),
        found.outcome.value,
        found.message,
        request_id,
        found.retry_after_seconds,
    )
    status = table.ROWS[found.code].status or 500
    answer = message.json_response(status, ErrorBody(detail))
    answer.headers.add("x-request-id", request_id)
    if found.retry_after_seconds is not None:
        answer.headers.add("retry-after", str(math.ceil(found.retry_after_seconds)))
    return answer
