"""Splits an account's limit between the entries that serve it."""

from __future__ import annotations

from collections import abc

UNREACHABLE_WEIGHT = 0.5
FLOOR_SHARE = 0.2
MAX_OVERSHOOT = 1.0 / UNREACHABLE_WEIGHT


def local_fraction(own_demand: float, peer_demands: abc.Sequence[float], unreachable: int) -> float:
    """Return the fraction of a limit that this entry may use.

    Entries that can reach each other split their side of a partition by demand, with a floor for
    each entry. An unreachable entry may have stopped or may still serve on its own, so it counts
    as ``UNREACHABLE_WEIGHT`` of an entry. All sides of a partition together therefore use less
    than ``MAX_OVERSHOOT`` times the limit. When all unreachable entries have stopped, the others
    still have ``reachable / (reachable + UNREACHABLE_WEIGHT * unreachable)`` of it.

    :param own_demand: this entry's demand, as it last advertised it to its peers.
    :param peer_demands: demand of each reachable peer.
    :param unreachable: number of entries that are listed as live but can't be reached.
    """
    count = 1 + len(peer_demands)
    reachable_share = count / (count + UNREACHABLE_WEIGHT * unreachable)
    total_demand = own_demand + sum(peer_demands)
    by_demand = own_demand / total_demand if total_demand > 0 else 1.0 / count
    return reachable_share * (FLOOR_SHARE / count + (1.0 - FLOOR_SHARE) * by_demand)
