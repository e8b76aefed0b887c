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
from galenavane.fleet import registry, target

EARLY_LOADS = 0.1
"""Part of its time that a load takes before the first request, by the platform's protocol."""
TRY_AGAIN_FACTOR = 2.0
"""Loads are given up after so many times their usual time; the order may have been lost."""
RESERVED_LOADS = 2
"""Loads at once kept for targets that hold no weights at all."""


@dataclasses.dataclass(slots=True)
class Staging:
    """Loads onto hosts that are under way.

    :ivar due: targets that were told to stage, and when they are told again.
    """

    due: dict[str, float] = dataclasses.field(default_factory=dict)


def follow(state: Staging, known: registry.Registry, now: float) -> None:
    """Forget targets that have staged, are gone, or were told long ago."""
    for one, until in list(state.due.items()):
        listed = known.targets.get(one)
        if listed is None or now >= until or _holds_second(known, listed):
            del state.due[one]


def find(
    state: Staging,
    known: registry.Registry,
    targets: abc.Iterable[target.Target],
    models: abc.Sequence[engine.Model],
) -> list[tuple[target.Target, engine.Model]]:
    """Return the targets that hold only one model's weights, and the model that each lacks."""
    found: list[tuple[target.Target, engine.Model]] = []
    for one in targets:
        held = one.membership
        is_busy = held is None or held.state is target.GroupState.JOINING
        if is_busy or one.id in state.due or _holds_second(known, one):
            continue
        lacking = [model for model in models if model.name != one.model]
        if one.model and lacking:
            found.append((one, max(lacking, key=lambda model: model.share)))
    return found


def begin(
    state: Staging, one: target.Target, model: engine.Model, is_early: bool, now: float
) -> group_command.Stage:
    """Return the command that lets a target load a model's weights."""
    seconds = model.load_seconds * (EARLY_LOADS if is_early else 1.0)
    state.due[one.id] = now + TRY_AGAIN_FACTOR * seconds
    return group_command.Stage(one, model.name)


def _holds_second(known: registry.Registry, one: target.Target) -> bool:
    """Whether the host keeps a model other than that of the target's last group."""
    last = known.last_models.get((one.id, one.incarnation), one.model)
    return any(model != last for model in one.staged)


def may_begin(state: Staging, loading: int, constants: engine.Engine) -> bool:
    """Whether one more load may begin for this after the first request."""
    return loading + len(state.due) < constants.loads_at_once - RESERVED_LOADS
