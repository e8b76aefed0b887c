"""Which simulated processes can reach each other."""

from __future__ import annotations


class Links:
    """State of the network between processes.

    :ivar latency_seconds: one-way delay of every message.
    :ivar cuts: pairs of sets of process names that can't reach each other.
    """

    __slots__ = ("cuts", "latency_seconds")

    def __init__(self, latency_seconds: float) -> None:
        self.latency_seconds = latency_seconds
        self.cuts: list[tuple[frozenset[str], frozenset[str]]] = []

    def cut(self, one: frozenset[str], two: frozenset[str]) -> None:
        """Stop all traffic between two sets, in both directions."""
        self.cuts.append((one, two))

    def mend(self, one: frozenset[str], two: frozenset[str]) -> None:
        """Remove one cut; connections that lost bytes stay silent."""
        if (one, two) in self.cuts:
            self.cuts.remove((one, two))

    def heal(self) -> None:
        """Remove every cut; connections that lost bytes stay silent."""
        self.cuts.clear()

    def is_blocked(self, source: str, target: str) -> bool:
        """Whether bytes from one process to another are lost."""
        return any(
            (source in one and target in two) or (source in two and target in one)
            for one, two in self.cuts
        )
