"""Chooses which groups to form from the free targets of one fabric domain.

Targets fail one at a time and permanently while all groups are busy, so a group has to be
complete again within a second. A spare that holds the model's weights joins in a fraction of the
time that a load takes.
"""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.catalog import engine
from galenavane.fleet import target

REJOIN_SECONDS = 0.2
"""Time to join a group of the same model as the last one; set by the platform's protocol."""
MIN_SPARES = 1
"""Spares kept in a domain when further groups of a model are formed. Groups that lose a member add
their other members to the spares."""


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A target that may join a group.

    :ivar last_model: model of its last group since the target started, or empty.
    """

    target: target.Target
    last_model: str


@dataclasses.dataclass(slots=True, frozen=True)
class Domain:
    """One fabric domain.

    :ivar group_counts: number of groups that serve or are being formed, by model.
    :ivar free: targets that may join a group now.
    :ivar soon_free: members of ending groups, which will soon be free.
    """

    group_counts: abc.Mapping[str, int]
    free: abc.Sequence[Candidate]
    soon_free: abc.Sequence[Candidate] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class GroupPlan:
    """A group to form.

    :ivar members: targets by rank, the head first.
    """

    model: engine.Model
    members: tuple[target.Target, ...]


def estimate_join_seconds(candidate: Candidate, model: engine.Model) -> float:
    """Return how many seconds a target takes to join a group of a model."""
    if candidate.last_model == model.name:
        return REJOIN_SECONDS
    if model.name in candidate.target.staged:
        return model.warm_seconds
    return model.load_seconds


def plan_groups(
    domain: Domain,
    models: abc.Sequence[engine.Model],
    fleet_counts: abc.Mapping[str, int],
    may_wait_for_loads: bool,
) -> list[GroupPlan]:
    """Return the groups to form, the most undersupplied model first.

    :param fleet_counts: number of groups of each model in all domains.
    :param may_wait_for_loads: whether groups may wait for members that load weights. They may
        not once there is traffic, since the ready members would be idle meanwhile: spares load on
        their own, and a group is formed once enough targets hold its model's weights.
    """
    free = list(domain.free)
    planned_domain_counts = dict(domain.group_counts)
    planned_fleet_counts = dict(fleet_counts)
    plans: list[GroupPlan] = []
    queue = sorted(
        models, key=lambda model: (compute_supply(model, planned_fleet_counts), -model.size)
    )
    lacking: list[engine.Model] = []
    while queue:
        model = queue.pop(0)
        is_first = not planned_domain_counts.get(model.name)
        eligible = _list_eligible(free, model, () if is_first else lacking, may_wait_for_loads)
        if is_first and len(eligible) < model.size:
            lacking.append(model)
            if len(eligible) + count_holding_weights(domain.soon_free, model) >= model.size:
                break
        if len(eligible) < model.size or not (is_first or len(free) - model.size >= MIN_SPARES):
            continue
        members = _choose_members(eligible, model, models)
        free = [candidate for candidate in free if candidate not in members]
        plans.append(GroupPlan(model, tuple(member.target for member in members)))
        planned_domain_counts[model.name] = planned_domain_counts.get(model.name, 0) + 1
        planned_fleet_counts[model.name] = planned_fleet_counts.get(model.name, 0) + 1
        queue = sorted(
            models, key=lambda model: (compute_supply(model, planned_fleet_counts), -model.size)
        )
        lacking = []
    return plans


def _list_eligible(
    candidates: abc.Sequence[Candidate],
    model: engine.Model,
    lacking: abc.Sequence[engine.Model],
    may_wait_for_loads: bool,
) -> list[Candidate]:
    """Return the targets that a group may be formed from.

    :param lacking: models that the domain lacks. Targets that hold their weights are left out,
        since they would drop them by joining a group of a model other than their last one.
    """
    if may_wait_for_loads:
        return list(candidates)
    return [
        candidate
        for candidate in candidates
        if candidate.last_model == model.name
        or (
            holds_weights(candidate, model)
            and not any(holds_weights(candidate, other) for other in lacking)
        )
    ]


def _choose_members(
    candidates: abc.Sequence[Candidate], model: engine.Model, models: abc.Sequence[engine.Model]
) -> list[Candidate]:
    """Return the targets that join fastest; among equals, those holding fewer other models."""

    def cost(candidate: Candidate) -> tuple[float, int, str]:
        others = sum(holds_weights(candidate, other) for other in models if other is not model)
        return (estimate_join_seconds(candidate, model), others, candidate.target.id)

    return sorted(candidates, key=cost)[: model.size]


def holds_weights(candidate: Candidate, model: engine.Model) -> bool:
    """Whether a target can join a group of a model without a load."""
    return estimate_join_seconds(candidate, model) < model.load_seconds


def count_holding_weights(candidates: abc.Iterable[Candidate], model: engine.Model) -> int:
    """Return how many targets can join a group of a model without a load."""
    return sum(holds_weights(candidate, model) for candidate in candidates)


def count_holding_other_model(members: abc.Iterable[Candidate]) -> int:
    """Return how many members could join a group of another model without a load."""
    return sum(
        any(model != member.last_model for model in member.target.staged) for member in members
    )


def compute_supply(model: engine.Model, counts: abc.Mapping[str, int], change: int = 0) -> float:
    """Return the number of targets that a model has, relative to its share of the work.

    :param counts: number of groups by model.
    :param change: number of groups to add, or to remove when negative.
    """
    return (counts.get(model.name, 0) + change) * model.size / max(model.share, 1e-6)


def find_surplus(
    domain: Domain,
    models: abc.Sequence[engine.Model],
    fleet_counts: abc.Mapping[str, int],
    members: abc.Mapping[str, abc.Sequence[abc.Sequence[Candidate]]],
) -> tuple[str, int] | None:
    """Return a model and how many of its groups should end for the sake of a model that is lacking.

    :param members: members of each serving group of the domain, by model; groups are taken from
        the front.
    :returns: ``None`` when no group should end.
    """
    ordered = sorted(
        models,
        key=lambda model: (
            compute_supply(model, fleet_counts),
            -model.size,
        ),
    )
    for lacking in ordered:
        if domain.group_counts.get(lacking.name):
            continue
        for other in reversed(ordered):
            groups = members.get(other.name, ())
            for count in range(1, len(groups)):
                available = count_holding_weights(domain.free, lacking)
                available += sum(
                    count_holding_weights(group_members, lacking)
                    for group_members in groups[:count]
                )
                remaining_supply = compute_supply(other, fleet_counts, -count)
                is_needed = not fleet_counts.get(lacking.name)
                is_needed = (
                    is_needed or compute_supply(lacking, fleet_counts, 1) <= remaining_supply
                )
                if available >= lacking.size and is_needed:
                    return other.name, count
    return None


def choose_standby_model(
    candidate: Candidate,
    models: abc.Sequence[engine.Model],
    members: abc.Mapping[str, int],
    standbys: abc.Mapping[str, int],
) -> engine.Model:
    """Return the model whose weights a spare should hold.

    :param members: number of the domain's targets in groups of each model, which may fail.
    :param standbys: number of the domain's spares that hold each model.
    """
    return max(
        models,
        key=lambda model: (
            _keeps_weights(candidate, model),
            not members.get(model.name) and standbys.get(model.name, 0) < model.size,
            members.get(model.name, 0) / (1 + standbys.get(model.name, 0)),
            -estimate_join_seconds(candidate, model),
        ),
    )


def _keeps_weights(candidate: Candidate, model: engine.Model) -> bool:
    """Whether a spare can stay with a model: its last one, or a staged one if it had none."""
    return candidate.last_model == model.name or (
        not candidate.last_model and model.name in candidate.target.staged
    )
