"""Violations found in a soak run."""

from __future__ import annotations

import dataclasses

STUCK = 0
CRASHED = -1


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A violated invariant, a stuck deployment or a crash.

    :ivar number: number of the invariant, or ``STUCK`` or ``CRASHED``, which are no invariants.
    :ivar at_seconds: simulated time.
    """

    number: int
    at_seconds: float
    text: str

    def describe(self) -> str:
        """Return a one-line description."""
        names = {STUCK: "stuck", CRASHED: "crash"}
        kind = names.get(self.number, f"invariant {self.number}")
        return f"{self.at_seconds:.2f} s: {kind}: {self.text}"
