"""Picks the head, the leader of a group, that a request is sent to.

Many entries send to the same heads without seeing each other's requests. Each entry adds the loads
that the others advertise to its own requests. Advertised loads are some tenths of a second old: if
many entries all picked the head that was least loaded then, they would overload it together. Each
of many entries therefore compares only two heads chosen at random.
"""

from __future__ import annotations

import random
from collections import abc

import msgspec

MAX_FULL_SCAN_ENTRIES = 8
"""Up to so many entries each send less than one request between two load messages."""
SAMPLE_SIZE = 2
"""Number of heads that each entry compares when there are more entries."""
REMOTE_COST = 0.4
"""Cost of a head in another data centre, in requests: traffic between them is charged for."""


class Candidate(msgspec.Struct, frozen=True):
    """A head that may be picked.

    :ivar in_flight: requests at the head, of this entry and, as last advertised, of the others.
    :ivar is_near: whether the head is in this entry's data centre.
    """

    head: str
    in_flight: float
    is_near: bool


def pick(
    candidates: abc.Sequence[Candidate],
    tried: abc.Set[str],
    entries: int,
    limit: float,
    rng: random.Random,
    avoided: abc.Set[str] = frozenset(),
    is_random: bool = False,
) -> Candidate | None:
    """Return a lightly loaded head that has not been tried, or ``None`` when all have.

    :param tried: heads that the request has been sent to.
    :param entries: number of entries that send to these heads.
    :param limit: maximum number of requests of a head; full heads are picked only as a last resort.
    :param avoided: heads that may crash soon, picked only if all others are full.
    :param is_random: whether to pick one at random: entries that see the same loads would all pick
        the same head otherwise.
    """
    eligible = [candidate for candidate in candidates if candidate.head not in tried]
    if not eligible:
        return None
    eligible = [candidate for candidate in eligible if candidate.in_flight < limit] or eligible
    eligible = [candidate for candidate in eligible if candidate.head not in avoided] or eligible
    if is_random:
        return rng.choice(eligible)
    if entries > MAX_FULL_SCAN_ENTRIES and len(eligible) > SAMPLE_SIZE:
        eligible = rng.sample(eligible, SAMPLE_SIZE)
    return min(eligible, key=lambda candidate: (_cost(candidate), rng.random()))


def _cost(candidate: Candidate) -> float:
    return candidate.in_flight + (0.0 if candidate.is_near else REMOTE_COST)
