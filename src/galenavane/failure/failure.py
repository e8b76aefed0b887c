"""The typed failure that results carry, and the exception for invalid input."""

from __future__ import annotations

import msgspec

from galenavane.failure import code as codes
from galenavane.failure import outcome as outcomes


class Failure(msgspec.Struct, frozen=True):
    """A failure with its result code and whether the request was run.

    :ivar code: the numbered result code.
    :ivar message: one line for a human reader.
    :ivar outcome: whether the request was run, as far as is known.
    :ivar retry_after_seconds: seconds after which a retry makes sense, or ``None``.
    """

    code: codes.Code
    message: str
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN
    retry_after_seconds: float | None = None


class UserError(Exception):
    """Invalid input of an operator, printed as one line with exit code 2."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure
