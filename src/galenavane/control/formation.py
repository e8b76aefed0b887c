"""Chooses which groups to form from the free targets of one fabric domain.

Load that it answers: targets fail one at a time and for good while every group is busy, so a
group has to be whole again within a second; a spare that holds its model's weights joins in a
fraction of the time that a load takes.
"""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.catalog import engine
from galenavane.fleet import target

REJOIN_SECONDS = 0.2
"""Join of a target whose last group had the model, by the platform's protocol."""
SPARE_SHARE = 0.11
"""Part of a domain's targets kept as spares before a second group of a model is formed."""
MIN_SPARES = 2
"""One for each of two losses in a domain before the first replacement has loaded."""


@dataclasses.dataclass(slots=True, frozen=True)
class Free:
    """A target that may join a group.

    :ivar last_model: model of its last group since its start, or empty.
    """

    target: target.Target
    last_model: str


@dataclasses.dataclass(slots=True, frozen=True)
class Domain:
    """One fabric domain.

    :ivar size: usable targets, in groups or free.
    :ivar groups: groups of each model that serve or are being formed.
    """

    size: int
    groups: abc.Mapping[str, int]
    free: abc.Sequence[Free]


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """A group to form, its head first."""

    model: engine.Model
    members: tuple[target.Target, ...]


def join_seconds(free: Free, model: engine.Model) -> float:
    """Return how long a target takes to join a group of a model."""
    if free.last_model == model.name:
        return REJOIN_SECONDS
    if model.name in free.target.staged:
        return model.warm_seconds
    return model.load_seconds


def plan(
    domain: Domain,
    models: abc.Sequence[engine.Model],
    fleet_groups: abc.Mapping[str, int],
    max_loads: int,
) -> list[Plan]:
    """Return the groups to form, the model that the fleet lacks most first.

    :param fleet_groups: groups of each model in all domains.
    :param max_loads: members of a further group of a model whose weights may have to be loaded.
        Targets that hold the weights of one model are not worth loading another one, unless
        the domain lacks it: those that wait for the weight store serve nobody.
    """
    free = list(domain.free)
    here = dict(domain.groups)
    everywhere = dict(fleet_groups)
    reserve = max(MIN_SPARES, round(domain.size * SPARE_SHARE))
    found: list[Plan] = []
    left = list(models)
    while (model := _next_model(left, here, everywhere, len(free), reserve)) is not None:
        members, others = _choose_members(free, model)
        loads = sum(join_seconds(one, model) >= model.load_seconds for one in members)
        if here.get(model.name) and loads > max_loads:
            left.remove(model)
            continue
        free = others
        found.append(Plan(model, tuple(one.target for one in members)))
        here[model.name] = here.get(model.name, 0) + 1
        everywhere[model.name] = everywhere.get(model.name, 0) + 1
    return found


def _choose_members(free: abc.Sequence[Free], model: engine.Model) -> tuple[list[Free], list[Free]]:
    """Return the targets that join soonest, and the others."""
    ordered = sorted(free, key=lambda one: (join_seconds(one, model), one.target.id))
    return ordered[: model.size], ordered[model.size :]


def _next_model(
    models: abc.Sequence[engine.Model],
    here: abc.Mapping[str, int],
    everywhere: abc.Mapping[str, int],
    free: int,
    reserve: int,
) -> engine.Model | None:
    ordered = sorted(models, key=lambda one: (_supply(one, everywhere), -one.size))
    first = [one for one in ordered if not here.get(one.name) and one.size <= free]
    if first:
        return first[0]
    if any(not here.get(one.name) for one in models):
        # What is free may yet complete the group that the domain lacks.
        return None
    return next((one for one in ordered if free - one.size >= reserve), None)


def _supply(model: engine.Model, groups: abc.Mapping[str, int]) -> float:
    """Return the targets that a model has, against its declared share."""
    return groups.get(model.name, 0) * model.size / max(model.share, 1e-6)


def choose_standby(
    free: Free,
    models: abc.Sequence[engine.Model],
    members: abc.Mapping[str, int],
    standbys: abc.Mapping[str, int],
) -> engine.Model:
    """Return the model whose weights a spare should hold.

    :param members: targets of the domain in groups of each model, which may fail.
    :param standbys: spares of the domain that hold each model.
    """
    return max(
        models,
        key=lambda one: (
            _is_kept(free, one),
            not members.get(one.name) and standbys.get(one.name, 0) < one.size,
            members.get(one.name, 0) / (1 + standbys.get(one.name, 0)),
            -join_seconds(free, one),
        ),
    )


def _is_kept(free: Free, model: engine.Model) -> bool:
    """Whether a target holds the model's weights already."""
    return free.last_model == model.name or (
        not free.last_model and model.name in free.target.staged
    )
