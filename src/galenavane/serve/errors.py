"""Numbered errors as HTTP responses."""

from __future__ import annotations

import math

from galenavane.failure import error_body, failure, table
from galenavane.net import message

ErrorBody = error_body.ErrorBody


def make_response(
    found: failure.Failure, request_id: str, accepts_fraction: bool = False
) -> message.Response:
    """Build the response that tells a caller of a failure.

    :param accepts_fraction: callers understand a retry time with a fraction.
    """
    status = table.ROWS[found.code].status or 500
    answer = message.json_response(status, error_body.make(found, request_id))
    answer.headers.add("x-request-id", request_id)
    if found.retry_after_seconds is not None:
        wait = found.retry_after_seconds
        text = f"{wait:.3f}" if accepts_fraction else str(math.ceil(wait))
        answer.headers.add("retry-after", text)
    return answer
