"""Decides which groups each fabric domain gets, and what its spares hold."""

from __future__ import annotations

from collections import abc

from galenavane.catalog import engine
from galenavane.control import (
    demand,
    formation,
    group_command,
    group_forming,
    staging,
    steward_state,
)
from galenavane.fleet import group, registry, target

SETTLE_SECONDS = 0.6
"""A domain that comes up is listed within this; its first groups are planned over all of it."""


def form(
    state: steward_state.Steward,
    known: registry.Registry,
    found: abc.Mapping[group.Key, group.Group],
    service: str,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Return the joins of new groups and spares, the domain with the fewest groups first."""
    usable = steward_state.find_usable(state, known, service)
    counts = _count_groups(state, known, found)
    models = demand.weigh(state.demand, constants.models)
    fleet: dict[str, int] = {}
    for groups in counts.values():
        for model, number in groups.items():
            fleet[model] = fleet.get(model, 0) + number
    commands: list[group_command.Command] = []
    for name in sorted(usable, key=lambda one: (sum(counts.get(one, {}).values()), one)):
        if not _is_settled(state, name, len(usable[name]), counts.get(name, {}), now):
            continue
        free = [
            steward_state.make_free(known, one)
            for one in usable[name]
            if steward_state.is_free(state, one)
        ]
        coming = [
            steward_state.make_free(known, one)
            for one in usable[name]
            if steward_state.is_coming(state, one)
        ]
        domain = formation.Domain(counts.get(name, {}), free, coming)
        used: set[str] = set()
        for plan in formation.plan(domain, models, fleet, not state.is_loaded):
            commands += group_forming.begin(state, known, plan, constants, now)
            used.update(one.id for one in plan.members)
            fleet[plan.model.name] = fleet.get(plan.model.name, 0) + 1
        left = [one for one in free if one.target.id not in used]
        if not used and not coming:
            _make_room(state, known, name, found, domain, fleet, models, now)
        commands += _keep_standbys(state, usable[name], left, constants, now)
    return commands


def _is_settled(
    state: steward_state.Steward, domain: str, size: int, groups: abc.Mapping[str, int], now: float
) -> bool:
    """Whether a domain without groups is listed as far as it will soon be."""
    known, since = state.sizes.get(domain, (0, now))
    if size != known:
        since = now
    state.sizes[domain] = (size, since)
    return bool(groups) or now >= since + SETTLE_SECONDS


def _make_room(
    state: steward_state.Steward,
    known: registry.Registry,
    name: str,
    found: abc.Mapping[group.Key, group.Group],
    domain: formation.Domain,
    fleet: abc.Mapping[str, int],
    models: abc.Sequence[engine.Model],
    now: float,
) -> None:
    """Let some of several groups of a model end, for a model that its domain lacks."""
    serving: dict[str, list[group.Group]] = {}
    for key, one in sorted(found.items()):
        if one.domain == name and one.is_serving and key not in state.doomed:
            serving.setdefault(one.model, []).append(one)

    def list_members(one: group.Group) -> list[formation.Free]:
        return [steward_state.make_free(known, member) for member in one.members]

    for groups in serving.values():
        groups.sort(key=lambda one: -formation.count_held(list_members(one)))
    members = {model: [list_members(one) for one in groups] for model, groups in serving.items()}
    surplus = formation.find_surplus(domain, models, fleet, members)
    if surplus is not None:
        model, count = surplus
        for one in serving[model][:count]:
            state.closing[one.key] = now


def _count_groups(
    state: steward_state.Steward,
    known: registry.Registry,
    found: abc.Mapping[group.Key, group.Group],
) -> dict[str, dict[str, int]]:
    """Return the groups of each model that serve or will, by domain."""
    counts: dict[str, dict[str, int]] = {}

    def count(domain: str, model: str) -> None:
        here = counts.setdefault(domain, {})
        here[model] = here.get(model, 0) + 1

    for key, one in found.items():
        # Members that died keep their entry for some seconds, after the others have left.
        is_ending = key in state.doomed or key in state.closing or one.head is None
        is_ending = is_ending or key in state.forming
        if not steward_state.is_standby(key) and not is_ending and one.model:
            count(one.domain, one.model)
    for forming in state.forming.values():
        listed = known.targets.get(forming.members[0])
        if listed is not None:
            count(listed.domain, forming.model.name)
    return counts


def stage(
    state: steward_state.Steward,
    known: registry.Registry,
    found: abc.Mapping[group.Key, group.Group],
    service: str,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Let targets load a second model; after the first request as loads allow.

    Domains that lack a model go first, then spares.
    """
    staging.follow(state.staging, known, now)
    is_early = state.is_first and not state.is_loaded
    if not is_early and not state.is_loaded:
        return []
    usable = [
        one for some in steward_state.find_usable(state, known, service).values() for one in some
    ]
    counts = _count_groups(state, known, found)
    served = {name for name, here in counts.items() if len(here) == len(constants.models)}
    usable.sort(key=lambda one: (one.domain in served, not steward_state.is_free(state, one)))
    commands: list[group_command.Command] = []
    for one, model in staging.find(state.staging, known, usable, constants.models):
        if not is_early and not _may_stage(state, constants, now):
            break
        commands.append(staging.begin(state.staging, one, model, is_early, now))
    return commands


def _may_stage(state: steward_state.Steward, constants: engine.Engine, now: float) -> bool:
    """Whether a load that no group waits for may begin."""
    loading = len(state.loading or ())
    if not staging.may_begin(state.staging, loading, constants):
        return False
    return state.loads.spend(constants.loads_per_second, now)


def _keep_standbys(
    state: steward_state.Steward,
    domain: abc.Sequence[target.Target],
    free: abc.Sequence[formation.Free],
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Let spares hold weights: a group of its own, never opened, makes the next join short."""
    members, standbys = _count_members(state, domain)
    commands: list[group_command.Command] = []
    for one in free:
        if one.target.membership is not None or ("standby", one.target.id, 0) in state.sent:
            continue
        model = formation.choose_standby(one, constants.models, members, standbys)
        wait = formation.join_seconds(one, model)
        is_load = wait >= model.load_seconds
        if is_load and not steward_state.may_load(state, one.target.id, constants, now):
            continue
        key = steward_state.next_key(state, steward_state.STANDBY_PREFIX.rstrip("-"))
        state.sent[("standby", one.target.id, 0)] = now
        standbys[model.name] = standbys.get(model.name, 0) + 1
        ids = (one.target.id,)
        commands.append(group_command.Join(one.target, key, model.name, ids, is_load))
    return commands


def _count_members(
    state: steward_state.Steward, domain: abc.Sequence[target.Target]
) -> tuple[dict[str, int], dict[str, int]]:
    forming = {one: made.model.name for made in state.forming.values() for one in made.members}
    members: dict[str, int] = {}
    standbys: dict[str, int] = {}
    for one in domain:
        if one.id in forming:
            members[forming[one.id]] = members.get(forming[one.id], 0) + 1
            continue
        if one.membership is None or not one.model:
            continue
        is_spare = one.membership.group.startswith(
            steward_state.STANDBY_PREFIX
        ) or steward_state.is_coming(state, one)
        counts = standbys if is_spare else members
        counts[one.model] = counts.get(one.model, 0) + 1
    return members, standbys
