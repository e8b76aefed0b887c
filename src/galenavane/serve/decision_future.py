"""Passes a routing decision to the task that waits for it."""

from __future__ import annotations

import trio

from galenavane.route import decision


class DecisionFuture:
    """A routing decision that is set once and awaited by one task.

    :ivar decision: ``None`` until it is set.
    """

    __slots__ = ("_event", "decision")

    def __init__(self) -> None:
        self.decision: decision.Decision | None = None
        self._event = trio.Event()

    def set(self, value: decision.Decision) -> None:
        """Set the decision and wake the waiting task."""
        self.decision = value
        self._event.set()

    async def wait(self) -> decision.Decision:
        """Wait until the decision is set, and return it."""
        await self._event.wait()
        assert self.decision is not None
        return self.decision
