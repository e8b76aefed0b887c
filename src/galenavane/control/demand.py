"""Estimates from the requests in flight how the work is split between models.

A model's share changes during the day, and the declared shares hold only at its start. Groups
of the model in higher demand are worth more.
"""

from __future__ import annotations

import dataclasses
import math
from collections import abc

import msgspec

from galenavane.catalog import engine

SMOOTHING_SECONDS = 3.0
"""A few times the length of a stream, so that a short burst doesn't move groups."""
OBSERVED_WEIGHT = 0.7
"""Weight of the observed shares. It is below 1 because requests for a model whose groups are all
lost aren't observed."""


@dataclasses.dataclass(slots=True)
class Demand:
    """Smoothed number of busy targets of each model.

    :ivar busy_targets: number of targets by model name.
    :ivar updated_at: monotonic time of the last update in seconds.
    """

    busy_targets: dict[str, float] = dataclasses.field(default_factory=dict)
    updated_at: float = float("-inf")


def record_load(
    state: Demand, in_flight: abc.Mapping[str, float], constants: engine.Engine, now: float
) -> None:
    """Update the estimate from the requests in flight at the heads of each model.

    :param in_flight: number of requests by model name.
    """
    decay = math.exp((state.updated_at - now) / SMOOTHING_SECONDS)
    state.updated_at = now
    for model in constants.models:
        busy = in_flight.get(model.name, 0.0) / constants.slots * model.size
        state.busy_targets[model.name] = (
            decay * state.busy_targets.get(model.name, 0.0) + (1 - decay) * busy
        )


def adjust_shares(state: Demand, models: abc.Sequence[engine.Model]) -> list[engine.Model]:
    """Return the models with shares weighted between the declared and the observed ones.

    The declared shares stay while fewer targets are busy than the smallest group has.
    """
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
