"""Splits an account's limit between the entries that serve it."""

from __future__ import annotations

from collections import abc

UNREACHABLE_WEIGHT = 0.5
FLOOR_SHARE = 0.2
MAX_OVERSHOOT = 1.0 / UNREACHABLE_WEIGHT


def local_fraction(own_demand: float, peer_demands: abc.Sequence[float], unreachable: int) -> float:
    """Return the part of a limit that this entry may use.

    Entries that hear each other divide one side's part by demand, with a floor for each. A silent
    entry may be gone or may be serving on its own, so it counts as ``UNREACHABLE_WEIGHT`` of an entry:
    the sides of any partition together use less than ``MAX_OVERSHOOT`` times the limit, and when
    all silent entries are gone the rest still has ``heard / (heard + SILENT_WEIGHT * silent)``.

    :param own_demand: this entry's demand, as it told its peers.
    :param peer_demands: demand of each peer that is heard.
    :param unreachable: entries that are listed as live and are not heard.
    """
    count = 1 + len(peer_demands)
    reachable_share = count / (count + UNREACHABLE_WEIGHT * unreachable)
    total_demand = own_demand + sum(peer_demands)
    by_demand = own_demand / total_demand if total_demand > 0 else 1.0 / count
    return reachable_share * (FLOOR_SHARE / count + (1.0 - FLOOR_SHARE) * by_demand)
