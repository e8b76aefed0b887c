"""Picks the head that a request is sent to.

Load that it answers: many entries send to the same heads without seeing each other's requests;
each adds what the others told to what it sent itself. What is told is some tenths of a second
old: when all of many entries take the head that was the least loaded one then, they fill it
together, so each compares only two, taken at random.
"""

from __future__ import annotations

import random
from collections import abc

import msgspec

FEW_ENTRIES = 8
"""Up to so many entries send less than a request each between two messages about loads."""
COMPARED = 2
"""Heads that each of many entries compares."""
FAR_COST = 0.4
"""Cost of another data centre, in requests: bytes between data centres are paid for."""


class Candidate(msgspec.Struct, frozen=True):
    """A head that may be picked.

    :ivar in_flight: requests at the head, of this entry and, as last told, of the others.
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
) -> Candidate | None:
    """Return a little loaded head that the request has not been sent to.

    :param entries: entries that send to these heads.
    :param limit: requests that a head may have; one that has as many is picked last.
    """
    left = [one for one in candidates if one.head not in tried]
    if not left:
        return None
    left = [one for one in left if one.in_flight < limit] or left
    if entries > FEW_ENTRIES and len(left) > COMPARED:
        left = rng.sample(left, COMPARED)
    return min(left, key=lambda one: (_cost(one), rng.random()))


def _cost(one: Candidate) -> float:
    return one.in_flight + (0.0 if one.is_near else FAR_COST)
