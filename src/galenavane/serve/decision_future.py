"""A task that waits for routing to decide about its request."""

from __future__ import annotations

import trio

from galenavane.route import decision


class DecisionFuture:
    """Holds the decision about one request once it is made."""

    __slots__ = ("_decided", "decision")

    def __init__(self) -> None:
        self.decision: decision.Decision | None = None
        self._decided = trio.Event()

    def set(self, found: decision.Decision) -> None:
        """Set the decision and wake the task."""
        self.decision = found
        self._decided.set()

    async def wait(self) -> decision.Decision:
        """Return the decision when it is made."""
        await self._decided.wait()
        assert self.decision is not None
        return self.decision
