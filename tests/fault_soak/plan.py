"""Draws the faults, or the planned work and the targets' pauses, of a run."""

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
PLANNED_WEIGHTS = {
    "entry_stop": 3,
    "entry_reload": 1,
    "target_leave": 2,
    "config_routes": 1,
    "config_move": 2,
    "config_timeouts": 1,
    "config_burst": 1,
    "target_pause": 4,
    "head_pause": 4,
    "heads_pause": 2,
    "repeated_pause": 2,
}
"""Planned work and pauses of sound targets, which excuse no lost answer."""
NOTICE_WEIGHTS = {
    "target_says_it_leaves": 2,
    "head_says_it_leaves": 2,
    "target_asks_to_wait": 4,
    "head_asks_to_wait": 4,
    "target_leave": 1,
    "target_kill": 1,
    "entry_stop": 1,
    "entry_kill": 1,
    "store_away": 2,
    "store_silent": 1,
    "config_routes": 1,
}
"""Targets that say that they leave or ask to be left alone, among other faults."""
FIRST_FAULT_SECONDS = 1.0
MEAN_GAP_SECONDS = 0.7
REPEAT_PROBABILITY = 0.3
"""Probability that a fault is repeated at once at another place, so that equal faults overlap."""


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """What may happen in a run.

    :ivar weights: kinds of faults with the weight of each in the draw.
    :ivar is_planned: whether there are only faults that excuse no lost answer.
    """

    weights: dict[str, int]
    mean_gap_seconds: float
    repeat_probability: float
    max_duration_seconds: float
    is_planned: bool


PLANS = {
    "faults": Plan(FAULT_WEIGHTS, MEAN_GAP_SECONDS, REPEAT_PROBABILITY, 3.0, is_planned=False),
    "notices": Plan(NOTICE_WEIGHTS, 0.4, 0.4, 2.0, is_planned=False),
    "planned": Plan(PLANNED_WEIGHTS, 0.3, 0.4, 1.3, is_planned=True),
}


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


def draw_faults(seed: int, seconds: float, plan_name: str = "faults") -> list[Fault]:
    """Return the faults of a run, ordered by start.

    :param seconds: end of fault injection, in seconds after its start.
    """
    plan = PLANS[plan_name]
    rng = random.Random(seed)
    faults: list[Fault] = []
    at_seconds = FIRST_FAULT_SECONDS
    while at_seconds < seconds:
        kind = rng.choices(list(plan.weights), list(plan.weights.values()))[0]
        count = 1 + (rng.random() < plan.repeat_probability)
        for _ in range(count):
            duration_seconds = rng.uniform(0.3, plan.max_duration_seconds)
            faults.append(Fault(at_seconds, kind, duration_seconds, rng.random()))
            at_seconds += rng.uniform(0.0, 0.3)
        at_seconds += rng.expovariate(1 / plan.mean_gap_seconds)
    return faults
