"""What an entry has lately seen of one instance."""

from __future__ import annotations

import dataclasses

from galenavane.store import instance
from galenavane.target import report


@dataclasses.dataclass(slots=True, frozen=True)
class InstanceStatus:
    """The platform's word and the last report of one instance.

    :ivar reported_at: monotonic time of sending the call that brought the report.
    """

    instance: instance.Instance
    report: report.Report | None
    reported_at: float
