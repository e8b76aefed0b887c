"""Decides which weights free instances keep in memory, so that a repair needs no load."""

from __future__ import annotations

import collections
import itertools
from collections import abc

from galenavane.control import condition, group_requirement, instance_status, pool, table


def assign(
    current: table.Table,
    requirements: list[group_requirement.Requirement],
    statuses: abc.Mapping[str, instance_status.InstanceStatus],
    held_back: abc.Container[str],
    now: float,
) -> dict[str, str]:
    """Return the weights that free instances should load, by instance name.

    One spare can stand in for any group of its fabric domain that runs the same model, as one
    parity block covers several data blocks.
    """
    shards = {requirement.service: requirement.shards for requirement in requirements}
    free = pool.make(current.groups, statuses, held_back, 0, now)
    groups = _group_by_domain(current, statuses)
    is_short = _is_short(current, requirements)
    loads: dict[str, str] = {}
    for name in sorted(free.domains):
        in_use, urgent = _list_needed_shards(groups.get(name, []), shards, statuses, now)
        loads.update(_match_loads(free.domains[name].free, in_use, urgent, is_short))
    return loads


def _group_by_domain(
    current: table.Table, statuses: abc.Mapping[str, instance_status.InstanceStatus]
) -> dict[str, list[table.Group]]:
    by_domain: dict[str, list[table.Group]] = {}
    for group in current.groups:
        leader = statuses.get(group.members[0].instance)
        if leader is not None:
            by_domain.setdefault(leader.instance.fabric_domain, []).append(group)
    return by_domain


def _is_short(current: table.Table, requirements: list[group_requirement.Requirement]) -> bool:
    active = [group for group in current.groups if group.phase is table.Phase.ACTIVE]
    return any(
        sum(map(requirement.matches, active)) < requirement.count for requirement in requirements
    )


def _list_needed_shards(
    groups: list[table.Group],
    shards: abc.Mapping[str, tuple[str, ...]],
    statuses: abc.Mapping[str, instance_status.InstanceStatus],
    now: float,
) -> tuple[list[str], list[str]]:
    """Return the weights in use, the most used first, and those of leaving members."""
    counts: collections.Counter[str] = collections.Counter()
    urgent = []
    for group in groups:
        needed = shards.get(group.service, ())
        if len(needed) != len(group.members):
            continue
        counts.update(needed)
        for member, shard in zip(group.members, needed, strict=True):
            if condition.assess_member(member, statuses, now) is condition.Condition.LEAVING:
                urgent.append(shard)
    return [shard for shard, _ in counts.most_common()], urgent


def _match_loads(
    free: abc.Mapping[str, instance_status.InstanceStatus],
    in_use: list[str],
    urgent: list[str],
    is_short: bool,
) -> dict[str, str]:
    """Return the new loads; instances that already hold wanted weights keep them."""
    if not in_use:
        return {}
    cycle = itertools.cycle(in_use)
    wanted_shards = list(urgent)
    while len(wanted_shards) < len(free):
        wanted_shards.append(next(cycle))
    wanted_shards = wanted_shards[: max(len(free), len(urgent))]
    replaceable = []
    for name in sorted(free):
        shard = pool.get_shard(free[name])
        if shard in wanted_shards:
            wanted_shards.remove(shard)
        elif not shard or shard not in in_use or not is_short or urgent:
            replaceable.append(name)
    replaceable.sort(key=lambda name: (pool.get_shard(free[name]) != "", name))
    return dict(zip(replaceable, wanted_shards, strict=False))
