"""Numbered errors as HTTP responses."""

from __future__ import annotations

import math

from galenavane.failure import error_body, failure, table
from galenavane.net import message

ErrorBody = error_body.ErrorBody


def response(found: failure.Failure, request_id: str) -> message.Response:
    """Build the response that tells a caller of a failure."""
    status = table.ROWS[found.code].status or 500
    answer = message.json_response(status, error_body.make(found, request_id))
    answer.headers.add("x-request-id", request_id)
    if found.retry_after_seconds is not None:
        answer.headers.add("retry-after", str(math.ceil(found.retry_after_seconds)))
    return answer
