"""Spreads retries, so that entries do not all call at once when the platform is back."""

from __future__ import annotations

import random


def delay(failures: int, base_seconds: float, max_seconds: float, rng: random.Random) -> float:
    """Return the wait before the next try, in seconds.

    :param failures: failed tries so far, at least 1.
    """
    upper_seconds = min(max_seconds, base_seconds * 2.0 ** min(failures, 30))
    return rng.uniform(upper_seconds / 4, upper_seconds)
