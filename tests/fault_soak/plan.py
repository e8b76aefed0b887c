"""Draws what happens in one run, and when."""

from __future__ import annotations

import dataclasses
import random

FAULTS = {
    "entry_kill": 3,
    "entry_pause": 3,
    "entry_stop": 2,
    "entry_reload": 1,
    "target_kill": 5,
    "target_silent": 2,
    "target_slow": 1,
    "target_reset": 2,
    "target_leave": 2,
    "store_away": 2,
    "store_silent": 2,
    "store_one_way": 2,
    "store_slow": 1,
    "store_forgets": 1,
    "config_change": 2,
    "key_revoke": 1,
}
"""Kinds of faults, with how often each is drawn against the others."""
FIRST_SECONDS = 1.0
MEAN_GAP_SECONDS = 0.7
SERIES_SHARE = 0.3
"""Faults that come again at once at another place, so that the same ones overlap."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """One fault.

    :ivar at: seconds from the start of the disturbances.
    :ivar seconds: how long it lasts, where it ends.
    :ivar draw: number from 0 to 1 that chooses the place.
    """

    at: float
    kind: str
    seconds: float
    draw: float


def draw(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run in order."""
    rng = random.Random(seed)
    found: list[Fault] = []
    at = FIRST_SECONDS
    while at < seconds:
        kind = rng.choices(list(FAULTS), list(FAULTS.values()))[0]
        again = 1 + (rng.random() < SERIES_SHARE)
        for _ in range(again):
            found.append(Fault(at, kind, rng.uniform(0.3, 3.0), rng.random()))
            at += rng.uniform(0.0, 0.3)
        at += rng.expovariate(1 / MEAN_GAP_SECONDS)
    return found
