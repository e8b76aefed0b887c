"""The latest status of one instance, as known to an entry."""

from __future__ import annotations

import dataclasses

from galenavane.store import instance
from galenavane.target import report


@dataclasses.dataclass(slots=True, frozen=True)
class InstanceStatus:
    """One instance as the platform lists it, with its last report.

    :ivar report: ``None`` before the first one.
    :ivar reported_at: monotonic time in seconds at which the call that returned the report was
        sent.
    """

    instance: instance.Instance
    report: report.Report | None
    reported_at: float
