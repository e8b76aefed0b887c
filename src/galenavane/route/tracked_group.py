"""One group as this entry tracks it between two reports."""

from __future__ import annotations

import dataclasses

from galenavane.route import group_report


@dataclasses.dataclass(slots=True)
class TrackedGroup:
    """A group with what was derived from its last report.

    :ivar reported_others: reported requests less this entry's own at the time of the load.
    :ivar deviation: moving mean of this entry's part of the group's deviation from its pool.
    :ivar others_in_flight: estimate of the requests in flight that this entry did not send.
    :ivar prefill_until: monotonic time at which all known prompts are computed.
    :ivar last_sent_at: monotonic time of this entry's last send, infinitely early without one.
    """

    report: group_report.GroupReport
    reported_others: int
    deviation: float
    others_in_flight: float
    prefill_until: float
    last_sent_at: float
