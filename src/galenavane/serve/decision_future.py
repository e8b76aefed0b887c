"""A task that waits for routing to decide about its request."""

from __future__ import annotations

import trio

from galenavane.route import decision


class DecisionFuture:
    """Holds the decision about one request once it is made."""

    __slots__ = ("_event", "decision")

    def __init__(self) -> None:
        self.decision: decision.Decision | None = None
        self._event = trio.Event()

    def set(self, value: decision.Decision) -> None:
        """Set the decision and wake the task."""
        self.decision = value
        self._event.set()

    async def wait(self) -> decision.Decision:
        """Return the decision when it is made."""
        await self._event.wait()
        assert self.decision is not None
        return self.decision
