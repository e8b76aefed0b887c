"""Numbered errors as HTTP responses."""

from __future__ import annotations

import math

from galenavane.failure import error_body, failure, table
from galenavane.net import message

ErrorBody = error_body.ErrorBody


def make_response(
    failed: failure.Failure, request_id: str, accepts_fraction: bool = False
) -> message.Response:
    """Build the response that tells a caller of a failure.

    :param accepts_fraction: callers understand a retry time with a fraction.
    """
    status = table.ROWS[failed.code].status or 500
    response = message.json_response(status, error_body.make(failed, request_id))
    response.headers.add("x-request-id", request_id)
    if failed.retry_after_seconds is not None:
        seconds = failed.retry_after_seconds
        text = f"{seconds:.3f}" if accepts_fraction else str(math.ceil(seconds))
        response.headers.add("retry-after", text)
    return response
