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

MAX_FULL_SCAN_ENTRIES = 8
"""Up to so many entries send less than a request each between two messages about loads."""
SAMPLE_SIZE = 2
"""Heads that each of many entries compares."""
REMOTE_COST = 0.4
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
    eligible = [candidate for candidate in candidates if candidate.head not in tried]
    if not eligible:
        return None
    eligible = [candidate for candidate in eligible if candidate.in_flight < limit] or eligible
    if entries > MAX_FULL_SCAN_ENTRIES and len(eligible) > SAMPLE_SIZE:
        eligible = rng.sample(eligible, SAMPLE_SIZE)
    return min(eligible, key=lambda candidate: (_cost(candidate), rng.random()))


def _cost(candidate: Candidate) -> float:
    return candidate.in_flight + (0.0 if candidate.is_near else REMOTE_COST)
