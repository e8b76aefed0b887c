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
MIN_SPARES = 1
"""Kept in a domain when further groups of a model are formed; the groups that lose a member
leave spares themselves."""


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A target that may join a group.

    :ivar last_model: model of its last group since its start, or empty.
    """

    target: target.Target
    last_model: str


@dataclasses.dataclass(slots=True, frozen=True)
class Domain:
    """One fabric domain.

    :ivar groups: groups of each model that serve or are being formed.
    :ivar soon_free: targets of groups that are ending, which are free in a moment.
    """

    groups: abc.Mapping[str, int]
    free: abc.Sequence[Candidate]
    soon_free: abc.Sequence[Candidate] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class GroupPlan:
    """A group to form, its head first."""

    model: engine.Model
    members: tuple[target.Target, ...]


def estimate_join_seconds(free: Candidate, model: engine.Model) -> float:
    """Return how long a target takes to join a group of a model."""
    if free.last_model == model.name:
        return REJOIN_SECONDS
    if model.name in free.target.staged:
        return model.warm_seconds
    return model.load_seconds


def plan_groups(
    domain: Domain,
    models: abc.Sequence[engine.Model],
    fleet_groups: abc.Mapping[str, int],
    may_wait: bool,
) -> list[GroupPlan]:
    """Return the groups to form, the model that the fleet lacks most first.

    :param fleet_groups: groups of each model in all domains.
    :param may_wait: whether groups may wait for members that load weights. Later they may not:
        members that are ready would serve nobody meanwhile, so spares load on their own, and a
        group is formed once enough targets hold its model's weights.
    """
    free = list(domain.free)
    here = dict(domain.groups)
    everywhere = dict(fleet_groups)
    found: list[GroupPlan] = []
    left = sorted(models, key=lambda one: (compute_supply(one, everywhere), -one.size))
    lacking: list[engine.Model] = []
    while left:
        model = left.pop(0)
        is_first = not here.get(model.name)
        able = _list_eligible(free, model, () if is_first else lacking, may_wait)
        if is_first and len(able) < model.size:
            lacking.append(model)
            if len(able) + count_holding_weights(domain.soon_free, model) >= model.size:
                break
        if len(able) < model.size or not (is_first or len(free) - model.size >= MIN_SPARES):
            continue
        members = _choose_members(able, model, models)
        free = [one for one in free if one not in members]
        found.append(GroupPlan(model, tuple(one.target for one in members)))
        here[model.name] = here.get(model.name, 0) + 1
        everywhere[model.name] = everywhere.get(model.name, 0) + 1
        left = sorted(models, key=lambda one: (compute_supply(one, everywhere), -one.size))
        lacking = []
    return found


def _list_eligible(
    free: abc.Sequence[Candidate],
    model: engine.Model,
    lacking: abc.Sequence[engine.Model],
    may_wait: bool,
) -> list[Candidate]:
    """Return the targets that a group may be formed of.

    :param lacking: models that the domain lacks; joining a group of another model than its last
        one, a target gives their weights up.
    """
    if may_wait:
        return list(free)
    return [
        one
        for one in free
        if one.last_model == model.name
        or (holds_weights(one, model) and not any(holds_weights(one, other) for other in lacking))
    ]


def _choose_members(
    free: abc.Sequence[Candidate], model: engine.Model, models: abc.Sequence[engine.Model]
) -> list[Candidate]:
    """Return the targets that join soonest, those that hold no other model first."""

    def cost(one: Candidate) -> tuple[float, int, str]:
        others = sum(holds_weights(one, other) for other in models if other is not model)
        return (estimate_join_seconds(one, model), others, one.target.id)

    return sorted(free, key=cost)[: model.size]


def holds_weights(free: Candidate, model: engine.Model) -> bool:
    """Whether a target joins a group of a model without a load."""
    return estimate_join_seconds(free, model) < model.load_seconds


def count_holding_weights(free: abc.Iterable[Candidate], model: engine.Model) -> int:
    """Return how many targets join a group of a model without a load."""
    return sum(holds_weights(one, model) for one in free)


def count_holding_other_model(members: abc.Iterable[Candidate]) -> int:
    """Return how many targets could join a group of another model without a load."""
    return sum(any(model != one.last_model for model in one.target.staged) for one in members)


def compute_supply(model: engine.Model, groups: abc.Mapping[str, int], change: int = 0) -> float:
    """Return the targets that a model has, against its declared share.

    :param change: groups that are added, or taken away when negative.
    """
    return (groups.get(model.name, 0) + change) * model.size / max(model.share, 1e-6)


def find_surplus(
    domain: Domain,
    models: abc.Sequence[engine.Model],
    fleet_groups: abc.Mapping[str, int],
    members: abc.Mapping[str, abc.Sequence[abc.Sequence[Candidate]]],
) -> tuple[str, int] | None:
    """Return the model, and how many of its groups, that should end for one that is lacking.

    :param members: members of each group of the domain that serves, by model; groups are taken
        from the front.
    """
    ordered = sorted(models, key=lambda one: (compute_supply(one, fleet_groups), -one.size))
    for lacking in ordered:
        if domain.groups.get(lacking.name):
            continue
        for other in reversed(ordered):
            groups = members.get(other.name, ())
            for count in range(1, len(groups)):
                able = count_holding_weights(domain.free, lacking)
                able += sum(count_holding_weights(one, lacking) for one in groups[:count])
                left = compute_supply(other, fleet_groups, -count)
                is_needed = not fleet_groups.get(lacking.name)
                is_needed = is_needed or compute_supply(lacking, fleet_groups, 1) <= left
                if able >= lacking.size and is_needed:
                    return other.name, count
    return None


def choose_standby_model(
    free: Candidate,
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
            _keeps_weights(free, one),
            not members.get(one.name) and standbys.get(one.name, 0) < one.size,
            members.get(one.name, 0) / (1 + standbys.get(one.name, 0)),
            -estimate_join_seconds(free, one),
        ),
    )


def _keeps_weights(free: Candidate, model: engine.Model) -> bool:
    """Whether a target holds the model's weights already."""
    return free.last_model == model.name or (
        not free.last_model and model.name in free.target.staged
    )
