"""Which tries of one request may have been run by a target."""

from __future__ import annotations

from galenavane import invariant
from galenavane.failure import outcome as outcomes


class ExecutionTracker:
    """Evidence from the connections, apart from how a failure is classified.

    :ivar possible_executions: tries of which nothing proves that the target did not run them.
    """

    __slots__ = ("_is_idempotent", "possible_executions")

    def __init__(self, is_idempotent: bool) -> None:
        self._is_idempotent = is_idempotent
        self.possible_executions = 0

    def begin_try(self) -> None:
        """Note a try before a target can see it.

        :raises ViolationError: when an earlier try of a non-idempotent request may have run.
        """
        invariant.check(
            invariant.Number.AT_MOST_ONCE,
            self._is_idempotent or self.possible_executions == 0,
            "a non-idempotent request is sent again though it may have been run",
        )
        self.possible_executions += 1

    def end_try(self, has_sent_bytes: bool, is_refused: bool) -> None:
        """Note how a try ended: without bytes sent, or refused, it was not run."""
        if is_refused or not has_sent_bytes:
            self.possible_executions -= 1

    def check_outcome(self, outcome: outcomes.Outcome) -> None:
        """Check what the caller is about to be told.

        :raises ViolationError: when it is ``NOT_RUN`` and a try may have been run.
        """
        invariant.check(
            invariant.Number.NOT_RUN_IS_TRUE,
            outcome is not outcomes.Outcome.NOT_RUN or self.possible_executions == 0,
            f"the caller is told not_run after {self.possible_executions} tries that may have run",
        )
