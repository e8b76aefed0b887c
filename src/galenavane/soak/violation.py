"""A broken promise that a run has shown."""

from __future__ import annotations

import dataclasses

STUCK = 0
CRASHED = -1


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """What was seen and when.

    :ivar number: number of the invariant; ``STUCK`` and ``CRASHED`` are none of the eight.
    """

    number: int
    at_seconds: float
    text: str

    def describe(self) -> str:
        """Return one line for people."""
        names = {STUCK: "something is stuck", CRASHED: "a process has crashed"}
        kind = names.get(self.number, f"invariant {self.number}")
        return f"{self.at_seconds:.2f} s: {kind}: {self.text}"
