"""Learns from the requests under way how the work is split between models.

Load that it answers: the share of a model moves during a day, and what was declared holds for its
start only. Groups of the model that is asked for more often are worth more.
"""

from __future__ import annotations

import dataclasses
import math
from collections import abc

import msgspec

from galenavane.catalog import engine

SMOOTHING_SECONDS = 3.0
"""A few times a stream's length, so that a burst alone does not move groups."""
OBSERVED_WEIGHT = 0.7
"""Weight of what is seen; a model whose groups are all lost is asked for without being seen."""


@dataclasses.dataclass(slots=True)
class Demand:
    """Busy targets of each model, smoothed.

    :ivar updated_at: when it was last taken in, in seconds.
    """

    busy_targets: dict[str, float] = dataclasses.field(default_factory=dict)
    updated_at: float = float("-inf")


def record_load(
    state: Demand, in_flight: abc.Mapping[str, float], constants: engine.Engine, now: float
) -> None:
    """Take in the requests under way at the heads of each model."""
    decay = math.exp((state.updated_at - now) / SMOOTHING_SECONDS)
    state.updated_at = now
    for model in constants.models:
        busy = in_flight.get(model.name, 0.0) / constants.slots * model.size
        state.busy_targets[model.name] = (
            decay * state.busy_targets.get(model.name, 0.0) + (1 - decay) * busy
        )


def adjust_shares(state: Demand, models: abc.Sequence[engine.Model]) -> list[engine.Model]:
    """Return the models with shares between the declared and the seen ones."""
    total = sum(state.busy_targets.get(model.name, 0.0) for model in models)
    if total < min((model.size for model in models), default=0):
        return list(models)
    return [
        msgspec.structs.replace(
            model,
            share=(1 - OBSERVED_WEIGHT) * model.share
            + OBSERVED_WEIGHT * state.busy_targets.get(model.name, 0.0) / total,
        )
        for model in models
    ]
