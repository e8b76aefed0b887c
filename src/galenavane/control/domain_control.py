"""Decides which groups each fabric domain gets, and what its spares hold."""

from __future__ import annotations

from collections import abc

from galenavane.catalog import engine
from galenavane.control import (
    controller_state,
    demand,
    formation,
    formation_progress,
    group_command,
    staging,
)
from galenavane.fleet import replica_group, target, target_registry

SETTLE_SECONDS = 0.6
"""A domain that comes up is listed within this; its first groups are planned over all of it."""


def form_groups(
    state: controller_state.ControllerState,
    known: target_registry.Registry,
    found: abc.Mapping[replica_group.Key, replica_group.Group],
    service: str,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Return the joins of new groups and spares, the domain with the fewest groups first."""
    usable = controller_state.find_usable(state, known, service)
    counts = _count_groups(state, known, found)
    models = demand.adjust_shares(state.demand, constants.models)
    fleet: dict[str, int] = {}
    for groups in counts.values():
        for model, number in groups.items():
            fleet[model] = fleet.get(model, 0) + number
    commands: list[group_command.Command] = []
    for name in sorted(usable, key=lambda one: (sum(counts.get(one, {}).values()), one)):
        if not _is_settled(state, name, len(usable[name]), counts.get(name, {}), now):
            continue
        free = [
            controller_state.make_candidate(known, one)
            for one in usable[name]
            if controller_state.is_free(state, one)
        ]
        coming = [
            controller_state.make_candidate(known, one)
            for one in usable[name]
            if controller_state.is_in_ending_group(state, one)
        ]
        domain = formation.Domain(counts.get(name, {}), free, coming)
        used: set[str] = set()
        for plan in formation.plan_groups(domain, models, fleet, not state.has_traffic):
            commands += formation_progress.begin(state, known, plan, constants, now)
            used.update(one.id for one in plan.members)
            fleet[plan.model.name] = fleet.get(plan.model.name, 0) + 1
        left = [one for one in free if one.target.id not in used]
        if not used and not coming:
            _close_surplus_groups(state, known, name, found, domain, fleet, models, now)
        commands += _assign_standbys(state, usable[name], left, constants, now)
    return commands


def _is_settled(
    state: controller_state.ControllerState,
    domain: str,
    size: int,
    groups: abc.Mapping[str, int],
    now: float,
) -> bool:
    """Whether a domain without groups is listed as far as it will soon be."""
    known, since = state.domain_sizes.get(domain, (0, now))
    if size != known:
        since = now
    state.domain_sizes[domain] = (size, since)
    return bool(groups) or now >= since + SETTLE_SECONDS


def _close_surplus_groups(
    state: controller_state.ControllerState,
    known: target_registry.Registry,
    name: str,
    found: abc.Mapping[replica_group.Key, replica_group.Group],
    domain: formation.Domain,
    fleet: abc.Mapping[str, int],
    models: abc.Sequence[engine.Model],
    now: float,
) -> None:
    """Let some of several groups of a model end, for a model that its domain lacks."""
    serving: dict[str, list[replica_group.Group]] = {}
    for key, one in sorted(found.items()):
        if one.domain == name and one.is_serving and key not in state.dissolving:
            serving.setdefault(one.model, []).append(one)

    def list_members(one: replica_group.Group) -> list[formation.Candidate]:
        return [controller_state.make_candidate(known, member) for member in one.members]

    for groups in serving.values():
        groups.sort(key=lambda one: -formation.count_holding_other_model(list_members(one)))
    members = {model: [list_members(one) for one in groups] for model, groups in serving.items()}
    surplus = formation.find_surplus(domain, models, fleet, members)
    if surplus is not None:
        model, count = surplus
        for one in serving[model][:count]:
            state.closing[one.key] = now


def _count_groups(
    state: controller_state.ControllerState,
    known: target_registry.Registry,
    found: abc.Mapping[replica_group.Key, replica_group.Group],
) -> dict[str, dict[str, int]]:
    """Return the groups of each model that serve or will, by domain."""
    counts: dict[str, dict[str, int]] = {}

    def count(domain: str, model: str) -> None:
        here = counts.setdefault(domain, {})
        here[model] = here.get(model, 0) + 1

    for key, one in found.items():
        # Members that died keep their entry for some seconds, after the others have left.
        is_ending = key in state.dissolving or key in state.closing or one.head is None
        is_ending = is_ending or key in state.forming
        if not controller_state.is_standby(key) and not is_ending and one.model:
            count(one.domain, one.model)
    for forming in state.forming.values():
        listed = known.targets.get(forming.member_ids[0])
        if listed is not None:
            count(listed.domain, forming.model.name)
    return counts


def stage_weights(
    state: controller_state.ControllerState,
    known: target_registry.Registry,
    found: abc.Mapping[replica_group.Key, replica_group.Group],
    service: str,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Let targets load a second model; after the first request as loads allow.

    Domains that lack a model go first, then spares.
    """
    staging.drop_finished(state.staging, known, now)
    is_early = state.is_cold_start and not state.has_traffic
    if not is_early and not state.has_traffic:
        return []
    usable = [
        one for some in controller_state.find_usable(state, known, service).values() for one in some
    ]
    counts = _count_groups(state, known, found)
    served = {name for name, here in counts.items() if len(here) == len(constants.models)}
    usable.sort(key=lambda one: (one.domain in served, not controller_state.is_free(state, one)))
    commands: list[group_command.Command] = []
    for one, model in staging.find_candidates(state.staging, known, usable, constants.models):
        if not is_early and not _may_stage(state, constants, now):
            break
        commands.append(staging.begin(state.staging, one, model, is_early, now))
    return commands


def _may_stage(
    state: controller_state.ControllerState, constants: engine.Engine, now: float
) -> bool:
    """Whether a load that no group waits for may begin."""
    loading = len(state.loading or ())
    if not staging.may_begin(state.staging, loading, constants):
        return False
    return state.load_budget.try_take(constants.loads_per_second, now)


def _assign_standbys(
    state: controller_state.ControllerState,
    domain: abc.Sequence[target.Target],
    free: abc.Sequence[formation.Candidate],
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Let spares hold weights: a group of its own, never opened, makes the next join short."""
    members, standbys = _count_members(state, domain)
    commands: list[group_command.Command] = []
    for one in free:
        if one.target.membership is not None or ("standby", one.target.id, 0) in state.sent_at:
            continue
        model = formation.choose_standby_model(one, constants.models, members, standbys)
        wait = formation.estimate_join_seconds(one, model)
        is_load = wait >= model.load_seconds
        if is_load and not controller_state.may_load(state, one.target.id, constants, now):
            continue
        key = controller_state.allocate_key(state, controller_state.STANDBY_PREFIX.rstrip("-"))
        state.sent_at[("standby", one.target.id, 0)] = now
        standbys[model.name] = standbys.get(model.name, 0) + 1
        ids = (one.target.id,)
        commands.append(group_command.Join(one.target, key, model.name, ids, is_load))
    return commands


def _count_members(
    state: controller_state.ControllerState, domain: abc.Sequence[target.Target]
) -> tuple[dict[str, int], dict[str, int]]:
    forming = {one: made.model.name for made in state.forming.values() for one in made.member_ids}
    members: dict[str, int] = {}
    standbys: dict[str, int] = {}
    for one in domain:
        if one.id in forming:
            members[forming[one.id]] = members.get(forming[one.id], 0) + 1
            continue
        if one.membership is None or not one.model:
            continue
        is_spare = one.membership.group.startswith(
            controller_state.STANDBY_PREFIX
        ) or controller_state.is_in_ending_group(state, one)
        counts = standbys if is_spare else members
        counts[one.model] = counts.get(one.model, 0) + 1
    return members, standbys
