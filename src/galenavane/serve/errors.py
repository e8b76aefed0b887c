"""Builds HTTP error responses from failures."""

from __future__ import annotations

import math

from galenavane.failure import error_body, failure, table
from galenavane.net import message

ErrorBody = error_body.ErrorBody


def make_response(
    error: failure.Failure, request_id: str, accepts_fraction: bool = False
) -> message.Response:
    """Build the HTTP response that reports a failure to the caller.

    :param accepts_fraction: whether callers accept a fractional ``Retry-After`` in seconds.
    """
    status = table.ROWS[error.code].status or 500
    response = message.json_response(status, error_body.make(error, request_id))
    response.headers.add("x-request-id", request_id)
    if error.retry_after_seconds is not None:
        seconds = error.retry_after_seconds
        text = f"{seconds:.3f}" if accepts_fraction else str(math.ceil(seconds))
        response.headers.add("retry-after", text)
    return response
