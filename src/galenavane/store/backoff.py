"""Exponential backoff with jitter, so that entries do not retry all at once after an outage."""

from __future__ import annotations

import random


def compute_delay(
    failures: int, base_seconds: float, max_seconds: float, rng: random.Random
) -> float:
    """Return the delay before the next attempt, in seconds.

    :param failures: consecutive failed attempts so far, at least 1.
    """
    upper_seconds = min(max_seconds, base_seconds * 2.0 ** min(failures, 30))
    return rng.uniform(upper_seconds / 4, upper_seconds)
