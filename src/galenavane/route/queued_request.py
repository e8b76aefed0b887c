"""A request that waits for a group."""

from __future__ import annotations

import dataclasses

from galenavane.route import grant as grants


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """One request in a queue.

    :ivar blocks: hashes of its prompt's prefix blocks.
    :ivar tried: groups that failed it.
    :ivar weight: of its client account.
    :ivar arrived_at: monotonic time.
    :ivar start_tag: virtual time at which its turn comes; the queue sets it.
    """

    request: grants.RoutingRequest
    blocks: list[int]
    tried: set[str]
    weight: float
    arrived_at: float
    start_tag: float = 0.0

    def cost(self) -> float:
        """Return the tokens that it may use."""
        return float(self.request.prompt_tokens + self.request.max_tokens)
