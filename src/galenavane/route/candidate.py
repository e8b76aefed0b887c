"""A group or plain target that may get a request."""

from __future__ import annotations

import dataclasses

from galenavane.target import report


@dataclasses.dataclass(slots=True)
class Candidate:
    """What is known of one complete group or live plain target; never changed once made.

    :ivar name: group name, or the instance's name for a plain target.
    :ivar address: of the group's leader.
    :ivar epoch: 0 for a plain target.
    :ivar load: lagging load of the leader.
    :ivar unreported: requests begun less those ended since the time that the load describes.
    :ivar cached_tokens: prompt tokens that are probably cached there.
    :ivar distance_seconds: round trip to its data centre.
    :ivar has_adapter: whether the adapter that is asked for is loaded.
    :ivar slowdown: factor by which it is slower than others, 1 for a healthy one.
    :ivar slot_free_seconds: mean time until one of its places gets free when all are taken.
    :ivar prefill_wait_seconds: time until all prompts sent there are computed.
    :ivar last_sent_at: monotonic time of this entry's last send there.
    """

    name: str
    address: str
    epoch: int = 0
    load: report.Load = dataclasses.field(default_factory=report.Load)
    unreported: float = 0.0
    cached_tokens: int = 0
    distance_seconds: float = 0.0
    has_adapter: bool = True
    slowdown: float = 1.0
    slot_free_seconds: float = 0.0
    prefill_wait_seconds: float = 0.0
    last_sent_at: float = 0.0

    def estimate_in_flight(self) -> float:
        """Return the requests that it probably has now."""
        return self.load.running + self.load.waiting + self.unreported
