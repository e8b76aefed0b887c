"""Choosers that routing is compared with."""

from __future__ import annotations

import itertools
import random
from collections import abc

from galenavane.route import candidate as candidates
from galenavane.route import state as states


def pick_random(
    available: abc.Sequence[candidates.Candidate], prompt_tokens: int, rng: random.Random
) -> candidates.Candidate | None:
    """Return any candidate."""
    return rng.choice(available) if available else None


def make_round_robin(first_number: int) -> states.PickPolicy:
    """Return a chooser that takes candidates by turns."""
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
    """Return the candidate with the fewest reported requests, equal ones by chance."""
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
