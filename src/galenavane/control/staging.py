"""Chooses which targets load a second model's weights onto their hosts.

When targets are lost faster than weights load, the spares left in a fabric domain may all hold the
wrong model. A target whose last group had one model and whose host keeps another can join a group
of either within a second or two, without a load.
"""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.catalog import engine
from galenavane.control import group_command
from galenavane.fleet import target, target_registry

EARLY_LOAD_TIME_SHARE = 0.1
"""Duration of a load before the first request, relative to a later one; set by the platform's
protocol."""
RETRY_FACTOR = 2.0
"""Multiple of the usual load time after which the command is sent again, since it may have been
lost."""
RESERVED_LOAD_SLOTS = 2
"""Concurrent loads kept free for targets that hold no weights at all."""


@dataclasses.dataclass(slots=True)
class Staging:
    """Loads onto hosts that are in progress.

    :ivar retry_at: ids of the targets that were sent a stage command, with the monotonic time in
        seconds from which it may be sent again.
    """

    retry_at: dict[str, float] = dataclasses.field(default_factory=dict)


def drop_finished(state: Staging, registry: target_registry.Registry, now: float) -> None:
    """Drop targets that have staged, are no longer listed, or have passed their retry time."""
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
    """Return the targets that hold only one model's weights, each with the model to stage."""
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
    """Record that a target stages a model, and return the command for it."""
    seconds = model.load_seconds * (EARLY_LOAD_TIME_SHARE if is_early else 1.0)
    state.retry_at[listed.id] = now + RETRY_FACTOR * seconds
    return group_command.Stage(listed, model.name)


def _holds_second_model(registry: target_registry.Registry, listed: target.Target) -> bool:
    """Whether the host keeps a model other than the one of the target's last group."""
    last_model = registry.last_models.get((listed.id, listed.incarnation), listed.model)
    return any(model != last_model for model in listed.staged)


def may_begin(state: Staging, loading: int, constants: engine.Engine) -> bool:
    """Whether one more target may stage, after the first request.

    :param loading: number of targets that load weights to join a group.
    """
    return loading + len(state.retry_at) < constants.loads_at_once - RESERVED_LOAD_SLOTS
