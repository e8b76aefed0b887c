"""The result of one soak run."""

from __future__ import annotations

import dataclasses

from galenavane.soak import fault_types, trace, violation


@dataclasses.dataclass(slots=True, frozen=True)
class RunResult:
    """What one run of a schedule showed.

    :ivar digest: hash of all events; the same for the same seed and schedule.
    :ivar ending_counts: how many requests ended in each way.
    """

    seed: int
    schedule: list[fault_types.Fault]
    violations: list[violation.Violation]
    simulated_seconds: float
    digest: str
    ending_counts: dict[str, int]
    events: list[trace.Event]

    @property
    def violated_numbers(self) -> set[int]:
        """The numbers of the broken invariants."""
        return {violated.number for violated in self.violations}
