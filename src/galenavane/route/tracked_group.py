"""A group with the values that this entry derives from its reports."""

from __future__ import annotations

import dataclasses

from galenavane.route import group_report


@dataclasses.dataclass(slots=True)
class TrackedGroup:
    """A group's last report and the estimates derived from it.

    :ivar reported_others: reported requests minus this entry's own at the time of the load.
    :ivar deviation: moving average of this entry's part of the difference between the group's
        requests and its share of the pool's requests.
    :ivar others_in_flight: estimated requests in flight that other entries sent.
    :ivar prefill_until: monotonic time at which all known prompts are prefilled.
    :ivar last_sent_at: monotonic time of this entry's last send, ``-inf`` without one.
    """

    report: group_report.GroupReport
    reported_others: int
    deviation: float
    others_in_flight: float
    prefill_until: float
    last_sent_at: float
