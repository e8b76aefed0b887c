"""Chooses which targets load a second model's weights onto their hosts.

Load that it answers: targets are lost faster than weights load, until the spares left in a fabric
domain hold the model that is not lacking. A target whose last group had one model and whose host
keeps another joins a group of either in a second or two, in place of a load.
"""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.catalog import engine
from galenavane.control import group_command
from galenavane.fleet import target, target_registry

EARLY_LOAD_TIME_SHARE = 0.1
"""Part of its time that a load takes before the first request, by the platform's protocol."""
RETRY_FACTOR = 2.0
"""Loads are given up after so many times their usual time; the order may have been lost."""
RESERVED_LOAD_SLOTS = 2
"""Loads at once kept for targets that hold no weights at all."""


@dataclasses.dataclass(slots=True)
class Staging:
    """Loads onto hosts that are under way.

    :ivar retry_at: targets that were told to stage, and when they are told again.
    """

    retry_at: dict[str, float] = dataclasses.field(default_factory=dict)


def drop_finished(state: Staging, registry: target_registry.Registry, now: float) -> None:
    """Forget targets that have staged, are gone, or were told long ago."""
    for target_id, retry_at in list(state.retry_at.items()):
        listed = registry.targets.get(target_id)
        if listed is None or now >= retry_at or _holds_second_model(registry, listed):
            del state.retry_at[target_id]


def find_candidates(
    state: Staging,
    registry: target_registry.Registry,
    targets: abc.Iterable[target.Target],
    models: abc.Sequence[engine.Model],
) -> list[tuple[target.Target, engine.Model]]:
    """Return the targets that hold only one model's weights, and the model that each lacks."""
    candidates: list[tuple[target.Target, engine.Model]] = []
    for listed in targets:
        membership = listed.membership
        is_unavailable = membership is None or membership.state is target.GroupState.JOINING
        if is_unavailable or listed.id in state.retry_at or _holds_second_model(registry, listed):
            continue
        lacking = [model for model in models if model.name != listed.model]
        if listed.model and lacking:
            candidates.append((listed, max(lacking, key=lambda model: model.share)))
    return candidates


def begin(
    state: Staging, listed: target.Target, model: engine.Model, is_early: bool, now: float
) -> group_command.Stage:
    """Return the command that lets a target load a model's weights."""
    seconds = model.load_seconds * (EARLY_LOAD_TIME_SHARE if is_early else 1.0)
    state.retry_at[listed.id] = now + RETRY_FACTOR * seconds
    return group_command.Stage(listed, model.name)


def _holds_second_model(registry: target_registry.Registry, listed: target.Target) -> bool:
    """Whether the host keeps a model other than that of the target's last group."""
    last_model = registry.last_models.get((listed.id, listed.incarnation), listed.model)
    return any(model != last_model for model in listed.staged)


def may_begin(state: Staging, loading: int, constants: engine.Engine) -> bool:
    """Whether one more load may begin for this after the first request."""
    return loading + len(state.retry_at) < constants.loads_at_once - RESERVED_LOAD_SLOTS
