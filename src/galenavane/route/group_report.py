"""The last report of one complete group, as routing uses it."""

from __future__ import annotations

import dataclasses

from galenavane.route import pool as pools
from galenavane.target import report


@dataclasses.dataclass(slots=True, frozen=True)
class GroupReport:
    """One complete group at its last report.

    :ivar leader: instance name of its leader.
    :ivar address: address of its leader.
    :ivar as_of: monotonic time at which the load was measured, earlier than the report.
    :ivar distance_seconds: round trip time to its data centre.
    :ivar complete_until: monotonic time until which the reports prove that it is complete.
    """

    name: str
    leader: str
    address: str
    epoch: int
    pool: pools.Pool
    load: report.Load
    as_of: float
    adapters: frozenset[str]
    distance_seconds: float
    complete_until: float
