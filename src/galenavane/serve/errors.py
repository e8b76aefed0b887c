"""Builds HTTP error responses from failures."""

from __future__ import annotations

import math

from galenavane.failure import error_body, failure, table
from galenavane.net import message

ErrorBody = error_body.ErrorBody


def make_response(
    failed: failure.Failure, request_id: str, accepts_fraction: bool = False
) -> message.Response:
    """Build the HTTP response that reports a failure to the caller.

    :param accepts_fraction: whether callers accept a fractional ``Retry-After`` in seconds.
    """
    status = table.ROWS[failed.code].status or 500
    response = message.json_response(status, error_body.make(failed, request_id))
    response.headers.add("x-request-id", request_id)
    if failed.retry_after_seconds is not None:
        seconds = failed.retry_after_seconds
        text = f"{seconds:.3f}" if accepts_fraction else str(math.ceil(seconds))
        response.headers.add("retry-after", text)
    return response
