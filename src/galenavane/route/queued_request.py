"""A request in the queue of a pool."""

from __future__ import annotations

import dataclasses

from galenavane.route import grant as grants


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a group.

    :ivar blocks: hashes of its prompt's prefix blocks.
    :ivar tried: names of the groups that failed it.
    :ivar weight: weight of its client account.
    :ivar arrived_at: monotonic time of arrival.
    :ivar start_tag: virtual start time in the fair queue, which sets it.
    """

    request: grants.RoutingRequest
    blocks: list[int]
    tried: set[str]
    weight: float
    arrived_at: float
    start_tag: float = 0.0

    def cost(self) -> float:
        """Return the maximum number of tokens that it may use."""
        return float(self.request.prompt_tokens + self.request.max_tokens)
