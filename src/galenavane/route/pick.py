"""Picks the candidate with the shortest predicted time to first token."""

from __future__ import annotations

import math
import random
from collections import abc

from galenavane.route import candidate as candidates

ADAPTER_LOAD_SECONDS = 0.5
TIE_SECONDS = 0.005
TIE_FRACTION = 0.1
"""Candidates that are worse than the best by up to this fraction and time are nearly best."""
LOAD_UNCERTAINTY = 0.5
"""Deviation of the number of requests in flight, in square roots of the capacity."""


def predict_first_token(candidate: candidates.Candidate, prompt_tokens: int) -> float:
    """Return the predicted time to first token in seconds."""
    queue_seconds = (
        _expected_ahead(candidate.estimate_in_flight(), candidate.load.capacity)
        * candidate.slot_free_seconds
    )
    return min_first_token(candidate, prompt_tokens) + queue_seconds * candidate.slowdown


def min_first_token(candidate: candidates.Candidate, prompt_tokens: int) -> float:
    """Return the time to first token in seconds if a batch slot is free."""
    load = candidate.load
    uncached_tokens = max(0, prompt_tokens - candidate.cached_tokens)
    prefill_seconds = (
        candidate.prefill_wait_seconds + uncached_tokens / load.prefill_tokens_per_second
    )
    adapter_seconds = 0.0 if candidate.has_adapter else ADAPTER_LOAD_SECONDS
    return (
        prefill_seconds + adapter_seconds + load.token_seconds
    ) * candidate.slowdown + candidate.distance_seconds


def pick(
    options: abc.Sequence[candidates.Candidate], prompt_tokens: int, rng: random.Random
) -> candidates.Candidate | None:
    """Return one of the candidates with nearly the shortest predicted time to first token.

    All entries get the same reports at the same time. To keep them from sending to the same group,
    each entry picks the least recently used of the nearly best candidates, at random among equals.
    """
    if not options:
        return None
    scores = [predict_first_token(candidate, prompt_tokens) for candidate in options]
    max_score = min(scores) * (1.0 + TIE_FRACTION) + TIE_SECONDS
    tied = [
        candidate for candidate, score in zip(options, scores, strict=True) if score <= max_score
    ]
    least_recent = min(candidate.last_sent_at for candidate in tied)
    return rng.choice([candidate for candidate in tied if candidate.last_sent_at == least_recent])


def _expected_ahead(in_flight: float, capacity: int) -> float:
    """Return the mean number of requests that must end before a new one gets a slot.

    The number of requests in flight is out of date, so a batch that seems nearly full may be full.
    """
    deviation = LOAD_UNCERTAINTY * math.sqrt(capacity)
    excess = (in_flight - capacity + 1) / deviation
    return deviation * (excess if excess > 20.0 else math.log1p(math.exp(excess)))
