"""Network partitions and latency between simulated processes."""

from __future__ import annotations


class Links:
    """State of the network between processes.

    :ivar latency_seconds: one-way delay of every write.
    :ivar partitions: pairs of sets of process names that can't reach each other.
    """

    __slots__ = ("latency_seconds", "partitions")

    def __init__(self, latency_seconds: float) -> None:
        self.latency_seconds = latency_seconds
        self.partitions: list[tuple[frozenset[str], frozenset[str]]] = []

    def add_partition(self, side: frozenset[str], other_side: frozenset[str]) -> None:
        """Block all traffic between two sets of process names, in both directions."""
        self.partitions.append((side, other_side))

    def heal_partition(self, side: frozenset[str], other_side: frozenset[str]) -> None:
        """Remove one partition; connections that have lost bytes stay silent."""
        if (side, other_side) in self.partitions:
            self.partitions.remove((side, other_side))

    def heal_all(self) -> None:
        """Remove all partitions; connections that have lost bytes stay silent."""
        self.partitions.clear()

    def is_blocked(self, source: str, destination: str) -> bool:
        """Return whether bytes from one process to another are lost."""
        return any(
            (source in side and destination in other_side)
            or (source in other_side and destination in side)
            for side, other_side in self.partitions
        )
