"""Decides which groups each fabric domain gets, and which weights its spares hold."""

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
"""Time within which all targets of a starting domain are listed. Its first groups are planned
after it, over the whole domain."""


def form_groups(
    state: controller_state.ControllerState,
    registry: target_registry.Registry,
    groups_by_key: abc.Mapping[replica_group.Key, replica_group.Group],
    service: str,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Return the joins for new groups and standbys, the domain with the fewest groups first."""
    usable = controller_state.find_usable(state, registry, service)
    forming_ids = controller_state.find_forming_ids(state)
    counts = _count_groups(state, registry, groups_by_key)
    models = demand.adjust_shares(state.demand, constants.models)
    fleet_counts: dict[str, int] = {}
    for domain_counts in counts.values():
        for model, number in domain_counts.items():
            fleet_counts[model] = fleet_counts.get(model, 0) + number
    commands: list[group_command.Command] = []
    for domain_name in sorted(
        usable, key=lambda domain_name: (sum(counts.get(domain_name, {}).values()), domain_name)
    ):
        if not _is_settled(
            state, domain_name, len(usable[domain_name]), counts.get(domain_name, {}), now
        ):
            continue
        free = [
            controller_state.make_candidate(registry, listed)
            for listed in usable[domain_name]
            if controller_state.is_free(forming_ids, listed)
        ]
        soon_free = [
            controller_state.make_candidate(registry, listed)
            for listed in usable[domain_name]
            if controller_state.is_in_ending_group(state, listed)
        ]
        domain = formation.Domain(counts.get(domain_name, {}), free, soon_free)
        used: set[str] = set()
        for plan in formation.plan_groups(domain, models, fleet_counts, not state.has_traffic):
            commands += formation_progress.begin(state, registry, plan, constants, now)
            used.update(member.id for member in plan.members)
            fleet_counts[plan.model.name] = fleet_counts.get(plan.model.name, 0) + 1
        remaining = [candidate for candidate in free if candidate.target.id not in used]
        if not used and not soon_free:
            _close_surplus_groups(
                state, registry, domain_name, groups_by_key, domain, fleet_counts, models, now
            )
        commands += _assign_standbys(state, usable[domain_name], remaining, constants, now)
    return commands


def _is_settled(
    state: controller_state.ControllerState,
    domain_name: str,
    size: int,
    group_counts: abc.Mapping[str, int],
    now: float,
) -> bool:
    """Whether a domain has groups, or its number of listed targets has stopped changing."""
    known_size, since = state.domain_sizes.get(domain_name, (0, now))
    if size != known_size:
        since = now
    state.domain_sizes[domain_name] = (size, since)
    return bool(group_counts) or now >= since + SETTLE_SECONDS


def _close_surplus_groups(
    state: controller_state.ControllerState,
    registry: target_registry.Registry,
    domain_name: str,
    groups_by_key: abc.Mapping[replica_group.Key, replica_group.Group],
    domain: formation.Domain,
    fleet_counts: abc.Mapping[str, int],
    models: abc.Sequence[engine.Model],
    now: float,
) -> None:
    """Close surplus groups of one model to free members for a model that the domain lacks."""
    if all(domain.group_counts.get(model.name) for model in models):
        return
    serving: dict[str, list[replica_group.Group]] = {}
    for key, group in sorted(groups_by_key.items()):
        if group.domain == domain_name and group.is_serving and key not in state.dissolving:
            serving.setdefault(group.model, []).append(group)

    def list_members(group: replica_group.Group) -> list[formation.Candidate]:
        return [controller_state.make_candidate(registry, member) for member in group.members]

    for groups in serving.values():
        groups.sort(key=lambda group: -formation.count_holding_other_model(list_members(group)))
    members = {
        model: [list_members(group) for group in groups] for model, groups in serving.items()
    }
    surplus = formation.find_surplus(domain, models, fleet_counts, members)
    if surplus is not None:
        model, count = surplus
        for group in serving[model][:count]:
            state.closing[group.key] = now


def _count_groups(
    state: controller_state.ControllerState,
    registry: target_registry.Registry,
    groups_by_key: abc.Mapping[replica_group.Key, replica_group.Group],
) -> dict[str, dict[str, int]]:
    """Return the number of groups that serve or are being formed, by domain and model."""
    counts: dict[str, dict[str, int]] = {}

    def count(domain: str, model: str) -> None:
        model_counts = counts.setdefault(domain, {})
        model_counts[model] = model_counts.get(model, 0) + 1

    for key, group in groups_by_key.items():
        # The records of dead members stay listed for some seconds after the others have left.
        is_ending = key in state.dissolving or key in state.closing or group.head is None
        is_ending = is_ending or key in state.forming
        if not controller_state.is_standby(key) and not is_ending and group.model:
            count(group.domain, group.model)
    for forming in state.forming.values():
        listed = registry.targets.get(forming.member_ids[0])
        if listed is not None:
            count(listed.domain, forming.model.name)
    return counts


def stage_weights(
    state: controller_state.ControllerState,
    registry: target_registry.Registry,
    groups_by_key: abc.Mapping[replica_group.Key, replica_group.Group],
    service: str,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Return commands that let targets load a second model's weights onto their hosts.

    On a cold start all targets stage before the first request. Otherwise staging begins with the
    first request, as the load limits allow. Domains that lack a model go first, then spares.
    """
    staging.drop_finished(state.staging, registry, now)
    is_early = state.is_cold_start and not state.has_traffic
    if not is_early and not (
        state.has_traffic and staging.may_begin(state.staging, len(state.loading or ()), constants)
    ):
        return []
    usable = [
        listed
        for domain_targets in controller_state.find_usable(state, registry, service).values()
        for listed in domain_targets
    ]
    counts = _count_groups(state, registry, groups_by_key)
    served = {
        name for name, model_counts in counts.items() if len(model_counts) == len(constants.models)
    }
    forming_ids = controller_state.find_forming_ids(state)
    usable.sort(
        key=lambda listed: (
            listed.domain in served,
            not controller_state.is_free(forming_ids, listed),
        )
    )
    commands: list[group_command.Command] = []
    for listed, model in staging.find_candidates(state.staging, registry, usable, constants.models):
        if not is_early and not _may_stage(state, constants, now):
            break
        commands.append(staging.begin(state.staging, listed, model, is_early, now))
    return commands


def _may_stage(
    state: controller_state.ControllerState, constants: engine.Engine, now: float
) -> bool:
    """Whether a load that no group is waiting for may begin now; takes it from the load budget."""
    loading = len(state.loading or ())
    if not staging.may_begin(state.staging, loading, constants):
        return False
    return state.load_budget.try_take(constants.loads_per_second, now)


def _assign_standbys(
    state: controller_state.ControllerState,
    domain_targets: abc.Sequence[target.Target],
    free: abc.Sequence[formation.Candidate],
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Return joins that make spares hold weights.

    Each joins a group of its own that is never opened; a later join of a serving group then needs
    no load.
    """
    members, standbys = _count_members(state, domain_targets)
    commands: list[group_command.Command] = []
    for candidate in free:
        if (
            candidate.target.membership is not None
            or ("standby", candidate.target.id, 0) in state.sent_at
        ):
            continue
        model = formation.choose_standby_model(candidate, constants.models, members, standbys)
        join_seconds = formation.estimate_join_seconds(candidate, model)
        needs_load = join_seconds >= model.load_seconds
        if needs_load and not controller_state.may_load(state, candidate.target.id, constants, now):
            continue
        key = controller_state.allocate_key(state, controller_state.STANDBY_PREFIX.rstrip("-"))
        state.sent_at[("standby", candidate.target.id, 0)] = now
        standbys[model.name] = standbys.get(model.name, 0) + 1
        ids = (candidate.target.id,)
        commands.append(
            controller_state.make_join(state, candidate.target, key, model, ids, needs_load)
        )
    return commands


def _count_members(
    state: controller_state.ControllerState, domain_targets: abc.Sequence[target.Target]
) -> tuple[dict[str, int], dict[str, int]]:
    forming_models = {
        member_id: forming_group.model.name
        for forming_group in state.forming.values()
        for member_id in forming_group.member_ids
    }
    members: dict[str, int] = {}
    standbys: dict[str, int] = {}
    for listed in domain_targets:
        if listed.id in forming_models:
            members[forming_models[listed.id]] = members.get(forming_models[listed.id], 0) + 1
            continue
        if listed.membership is None or not listed.model:
            continue
        is_spare = listed.membership.group.startswith(
            controller_state.STANDBY_PREFIX
        ) or controller_state.is_in_ending_group(state, listed)
        counts = standbys if is_spare else members
        counts[listed.model] = counts.get(listed.model, 0) + 1
    return members, standbys
