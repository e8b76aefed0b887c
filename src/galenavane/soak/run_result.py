"""Result of a soak run."""

from __future__ import annotations

import dataclasses

from galenavane.soak import fault_types, trace, violation


@dataclasses.dataclass(slots=True, frozen=True)
class RunResult:
    """Result of one run of a schedule.

    :ivar simulated_seconds: simulated time at the end of the run.
    :ivar digest: hash of all events; identical for the same seed and schedule.
    :ivar ending_counts: number of requests by how they ended.
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
        """Numbers of the violated invariants."""
        return {violated.number for violated in self.violations}
