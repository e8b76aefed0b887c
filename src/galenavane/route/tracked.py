"""One group as this entry tracks it between two reports."""

from __future__ import annotations

import dataclasses

from galenavane.route import group_facts


@dataclasses.dataclass(slots=True)
class Tracked:
    """A group with what was derived from its last report.

    :ivar unknown_requests: reported requests less those known of at the time of the load; noise
        makes it negative at times.
    :ivar deviation: moving mean of this entry's part of the group's deviation from its pool.
    :ivar others: estimate of the requests in flight that this entry did not send.
    :ivar prefill_until: monotonic time at which all known prompts are computed.
    """

    facts: group_facts.GroupFacts
    unknown_requests: int
    deviation: float
    others: float
    prefill_until: float
