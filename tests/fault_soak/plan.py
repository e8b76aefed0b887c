"""Draws the faults of a run."""

from __future__ import annotations

import dataclasses
import random

FAULT_WEIGHTS = {
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
"""Kinds of faults with the weight of each in the draw."""
FIRST_FAULT_SECONDS = 1.0
MEAN_GAP_SECONDS = 0.7
REPEAT_PROBABILITY = 0.3
"""Probability that a fault is repeated at once at another place, so that equal faults overlap."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault of a run.

    :ivar at_seconds: start, in seconds after the start of fault injection.
    :ivar duration_seconds: duration, for faults that are undone.
    :ivar choice: number from 0 to 1 that selects the affected process and variant.
    """

    at_seconds: float
    kind: str
    duration_seconds: float
    choice: float


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run, ordered by start.

    :param seconds: end of fault injection, in seconds after its start.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    at_seconds = FIRST_FAULT_SECONDS
    while at_seconds < seconds:
        kind = rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
        count = 1 + (rng.random() < REPEAT_PROBABILITY)
        for _ in range(count):
            faults.append(Fault(at_seconds, kind, rng.uniform(0.3, 3.0), rng.random()))
            at_seconds += rng.uniform(0.0, 0.3)
        at_seconds += rng.expovariate(1 / MEAN_GAP_SECONDS)
    return faults
