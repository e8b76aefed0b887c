"""Picks a group by predicted time to first token."""

from __future__ import annotations

import math
import random
from collections import abc

from galenavane.route import candidate as candidates

ADAPTER_LOAD_SECONDS = 0.5
NEAR_SECONDS = 0.005
NEAR_SHARE = 0.1
UNCERTAINTY = 0.5


def predict_first_token(one: candidates.Candidate, prompt_tokens: int) -> float:
    """Return the predicted time to first token in seconds."""
    queue = _expected_ahead(one.estimate_in_flight(), one.load.capacity) * one.slot_free_seconds
    return least_first_token(one, prompt_tokens) + queue * one.slowdown


def least_first_token(one: candidates.Candidate, prompt_tokens: int) -> float:
    """Return the time to first token in seconds when a place is free."""
    load = one.load
    left = max(0, prompt_tokens - one.cached_tokens)
    prefill = one.prefill_wait_seconds + left / load.prefill_tokens_per_second
    adapter = 0.0 if one.has_adapter else ADAPTER_LOAD_SECONDS
    return (prefill + adapter + load.token_seconds) * one.slowdown + one.distance_seconds


def pick(
    found: abc.Sequence[candidates.Candidate], prompt_tokens: int, rng: random.Random
) -> candidates.Candidate | None:
    """Return one of the candidates with nearly the shortest predicted wait.

    Entries learn the same facts at the same time. So that they don't all turn to one group, each
    takes among the near best the one it has not used for longest; equal ones go by chance.
    """
    if not found:
        return None
    scores = [predict_first_token(one, prompt_tokens) for one in found]
    bound = min(scores) * (1.0 + NEAR_SHARE) + NEAR_SECONDS
    near = [one for one, score in zip(found, scores, strict=True) if score <= bound]
    oldest = min(one.last_sent_at for one in near)
    return rng.choice([one for one in near if one.last_sent_at == oldest])


def _expected_ahead(in_flight: float, capacity: int) -> float:
    """Return how many requests will end before a new one gets a place, on average.

    Counts of requests in flight are not of this moment, so a nearly full batch may be full.
    """
    deviation = UNCERTAINTY * math.sqrt(capacity)
    over = (in_flight - capacity + 1) / deviation
    return deviation * (over if over > 20.0 else math.log1p(math.exp(over)))
