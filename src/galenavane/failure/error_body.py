"""Body of an error response."""

from __future__ import annotations

import msgspec

from galenavane.failure import failure


class ErrorDetail(msgspec.Struct, frozen=True):
    """A failure as it is reported to the caller."""

    code: int
    name: str
    outcome: str
    message: str
    request_id: str
    retry_after_seconds: float | None


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response."""

    error: ErrorDetail


def make(reported: failure.Failure, request_id: str) -> ErrorBody:
    """Return the error response body for a failure."""
    return ErrorBody(
        ErrorDetail(
            reported.code.value,
            reported.code.name.lower(),
            reported.outcome.value,
            reported.message,
            request_id,
            reported.retry_after_seconds,
        )
    )
