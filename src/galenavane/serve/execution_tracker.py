"""Counts the tries of one request that a target may have executed."""

from __future__ import annotations

from galenavane import invariant
from galenavane.failure import outcome as outcomes


class ExecutionTracker:
    """Checks at-most-once execution from connection state alone.

    It does not use :mod:`classify`, so that a wrong classification is detected here.

    :ivar possible_executions: number of tries that are not proved to be unexecuted.
    """

    __slots__ = ("_is_idempotent", "possible_executions")

    def __init__(self, is_idempotent: bool) -> None:
        self._is_idempotent = is_idempotent
        self.possible_executions = 0

    def begin_try(self) -> None:
        """Count a try as possibly executed; called before its connection is opened.

        :raises ViolationError: when an earlier try of a non-idempotent request may have been
            executed.
        """
        invariant.check(
            invariant.Number.AT_MOST_ONCE,
            self._is_idempotent or self.possible_executions == 0,
            "a non-idempotent request is sent again although it may have been executed",
        )
        self.possible_executions += 1

    def end_try(self, has_sent_bytes: bool, is_refused: bool) -> None:
        """Uncount a try that was not executed.

        :param has_sent_bytes: whether any byte of the request was sent.
        :param is_refused: whether the target stated that it did not execute the request.
        """
        if is_refused or not has_sent_bytes:
            self.possible_executions -= 1

    def check_outcome(self, outcome: outcomes.Outcome) -> None:
        """Check the outcome that is about to be reported to the caller.

        :raises ViolationError: when it is ``NOT_RUN`` although a try may have been executed.
        """
        invariant.check(
            invariant.Number.NOT_RUN_IS_TRUE,
            outcome is not outcomes.Outcome.NOT_RUN or self.possible_executions == 0,
            f"outcome not_run is reported after {self.possible_executions} possibly executed tries",
        )
