"""Choosers that routing is compared with."""

from __future__ import annotations

import itertools
import random
from collections import abc

from galenavane.route import candidate as candidates
from galenavane.route import state as states


def choose_random(
    found: abc.Sequence[candidates.Candidate], prompt_tokens: int, rng: random.Random
) -> candidates.Candidate | None:
    """Return any candidate."""
    return rng.choice(found) if found else None


def make_round_robin(start: int) -> states.PickPolicy:
    """Return a chooser that takes candidates by turns."""
    turns = itertools.count(start)

    def choose(
        found: abc.Sequence[candidates.Candidate], prompt_tokens: int, rng: random.Random
    ) -> candidates.Candidate | None:
        if not found:
            return None
        order = sorted(found, key=lambda one: one.name)
        return order[next(turns) % len(order)]

    return choose


def choose_least_reported(
    found: abc.Sequence[candidates.Candidate], prompt_tokens: int, rng: random.Random
) -> candidates.Candidate | None:
    """Return the candidate with the fewest reported requests, equal ones by chance."""
    if not found:
        return None
    fewest = min(one.load.running + one.load.waiting for one in found)
    return rng.choice([one for one in found if one.load.running + one.load.waiting == fewest])
