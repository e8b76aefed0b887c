"""What reports say of one complete group."""

from __future__ import annotations

import dataclasses

from galenavane.route import pool as pools
from galenavane.target import report


@dataclasses.dataclass(slots=True, frozen=True)
class GroupReport:
    """One complete group at its last report.

    :ivar leader: instance name of its leader.
    :ivar address: of the leader.
    :ivar as_of: monotonic time that the load describes, older than the report.
    :ivar distance_seconds: round trip to its data centre.
    :ivar complete_until: monotonic time at which the proof of completeness lapses.
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
