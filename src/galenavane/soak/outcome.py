"""The result of one soak run."""

from __future__ import annotations

import dataclasses

from galenavane.soak import fault, trace, violation


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """What one run of a schedule showed.

    :ivar digest: hash of all events; the same for the same seed and schedule.
    :ivar endings: how many requests ended in each way.
    """

    seed: int
    schedule: list[fault.Fault]
    violations: list[violation.Violation]
    simulated_seconds: float
    digest: str
    endings: dict[str, int]
    events: list[trace.Event]

    @property
    def numbers(self) -> set[int]:
        """The numbers of the broken invariants."""
        return {one.number for one in self.violations}
