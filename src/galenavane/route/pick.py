"""Picks a group by predicted time to first token."""

from __future__ import annotations

import random
from collections import abc

from galenavane.route import candidate as candidates

ADAPTER_LOAD_SECONDS = 0.5


def predict_first_token(one: candidates.Candidate, prompt_tokens: int) -> float:
    """Return the predicted time to first token in seconds."""
    load = one.load
    ahead = max(0, load.running + load.waiting + one.unreported - load.capacity + 1)
    queue = ahead * load.token_seconds
    left = max(0, prompt_tokens - one.cached_tokens) + load.waiting_prefill_tokens
    prefill = left / load.prefill_tokens_per_second
    adapter = 0.0 if one.has_adapter else ADAPTER_LOAD_SECONDS
    busy = (queue + prefill + adapter + load.token_seconds) * one.suspicion
    return busy + one.distance_seconds


def pick(
    found: abc.Sequence[candidates.Candidate], prompt_tokens: int, rng: random.Random
) -> candidates.Candidate | None:
    """Return the candidate with the shortest predicted wait; equal ones by chance."""
    if not found:
        return None
    order = sorted(found, key=lambda one: one.name)
    rng.shuffle(order)
    return min(order, key=lambda one: (predict_first_token(one, prompt_tokens), one.unreported))
