"""Simple pick policies as baselines for the comparison of routing."""

from __future__ import annotations

import itertools
import random
from collections import abc

from galenavane.route import candidate as candidates
from galenavane.route import state as states


def pick_random(
    available: abc.Sequence[candidates.Candidate], prompt_tokens: int, rng: random.Random
) -> candidates.Candidate | None:
    """Return a random candidate."""
    return rng.choice(available) if available else None


def make_round_robin(first_number: int) -> states.PickPolicy:
    """Return a policy that picks candidates in turn, in order of their names.

    :param first_number: position to start at.
    """
    turn_numbers = itertools.count(first_number)

    def pick_next(
        available: abc.Sequence[candidates.Candidate], prompt_tokens: int, rng: random.Random
    ) -> candidates.Candidate | None:
        if not available:
            return None
        ordered = sorted(available, key=lambda candidate: candidate.name)
        return ordered[next(turn_numbers) % len(ordered)]

    return pick_next


def pick_least_loaded(
    available: abc.Sequence[candidates.Candidate], prompt_tokens: int, rng: random.Random
) -> candidates.Candidate | None:
    """Return the candidate with the fewest reported requests, a random one of several."""
    if not available:
        return None
    fewest = min(candidate.load.running + candidate.load.waiting for candidate in available)
    return rng.choice(
        [
            candidate
            for candidate in available
            if candidate.load.running + candidate.load.waiting == fewest
        ]
    )
