"""Describes a group or plain target that a request may be sent to."""

from __future__ import annotations

import dataclasses

from galenavane.target import report


@dataclasses.dataclass(slots=True)
class Candidate:
    """State of one complete group or live plain target when a request is routed; not modified.

    :ivar name: group name, or the instance's name for a plain target.
    :ivar address: address of the group's leader.
    :ivar epoch: epoch of the group, 0 for a plain target.
    :ivar load: last reported load of the leader, which lags behind its current load.
    :ivar unreported: requests begun minus requests ended since the time of the load.
    :ivar cached_tokens: prompt tokens that its prefix cache probably holds.
    :ivar distance_seconds: round trip time to its data centre.
    :ivar has_adapter: whether the requested adapter is loaded.
    :ivar slowdown: factor by which it is slower than others, 1 for a healthy one.
    :ivar slot_free_seconds: mean time until a batch slot becomes free when all are taken.
    :ivar prefill_wait_seconds: time until all prompts sent to it are prefilled.
    :ivar last_sent_at: monotonic time of this entry's last send to it.
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
        """Return the estimated number of requests that it has now."""
        return self.load.running + self.load.waiting + self.unreported
