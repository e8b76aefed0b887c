"""Which simulated processes can reach each other."""

from __future__ import annotations


class Links:
    """State of the network between processes.

    :ivar latency_seconds: one-way delay of every message.
    :ivar partitions: pairs of sets of process names that can't reach each other.
    """

    __slots__ = ("latency_seconds", "partitions")

    def __init__(self, latency_seconds: float) -> None:
        self.latency_seconds = latency_seconds
        self.partitions: list[tuple[frozenset[str], frozenset[str]]] = []

    def add_partition(self, one: frozenset[str], two: frozenset[str]) -> None:
        """Stop all traffic between two sets, in both directions."""
        self.partitions.append((one, two))

    def heal_partition(self, one: frozenset[str], two: frozenset[str]) -> None:
        """Remove one cut; connections that lost bytes stay silent."""
        if (one, two) in self.partitions:
            self.partitions.remove((one, two))

    def heal_all(self) -> None:
        """Remove every cut; connections that lost bytes stay silent."""
        self.partitions.clear()

    def is_blocked(self, source: str, target: str) -> bool:
        """Whether bytes from one process to another are lost."""
        return any(
            (source in one and target in two) or (source in two and target in one)
            for one, two in self.partitions
        )
