"""The typed error that results carry."""

from __future__ import annotations

import msgspec

from galenavane.failure import code as codes
from galenavane.failure import outcome as outcomes


class Failure(msgspec.Struct, frozen=True):
    """One failure with its code and what it proves.

    :ivar code: the numbered result code.
    :ivar message: one line for the person who reads it.
    :ivar outcome: whether the request was run.
    :ivar retry_after_seconds: when a new try makes sense, or ``None``.
    """

    code: codes.Code
    message: str
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN
    retry_after_seconds: float | None = None


class UserError(Exception):
    """A wrong input of an operator, printed as one line with exit code 2."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure
