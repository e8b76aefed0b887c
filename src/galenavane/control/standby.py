"""Decides which weights free instances hold ready, so that a repair needs no load."""

from __future__ import annotations

import collections
import itertools
from collections import abc

from galenavane.control import condition, group_requirement, instance_status, pool, table


def assign(
    current: table.Table,
    wants: list[group_requirement.Requirement],
    seen: abc.Mapping[str, instance_status.InstanceStatus],
    held_back: abc.Container[str],
    now: float,
) -> dict[str, str]:
    """Return the weights that free instances are to load, by instance name.

    One spare serves every group of its fabric domain that runs the same model, as one parity
    block covers several data blocks.
    """
    shards = {one.service: one.shards for one in wants}
    free = pool.make(current.groups, seen, held_back, 0, now)
    groups = _group_by_domain(current, seen)
    is_short = _is_short(current, wants)
    loads: dict[str, str] = {}
    for name in sorted(free.domains):
        usual, urgent = _list_needed_shards(groups.get(name, []), shards, seen, now)
        loads.update(_match_loads(free.domains[name].free, usual, urgent, is_short))
    return loads


def _group_by_domain(
    current: table.Table, seen: abc.Mapping[str, instance_status.InstanceStatus]
) -> dict[str, list[table.Group]]:
    found: dict[str, list[table.Group]] = {}
    for group in current.groups:
        leader = seen.get(group.members[0].instance)
        if leader is not None:
            found.setdefault(leader.instance.fabric_domain, []).append(group)
    return found


def _is_short(current: table.Table, wants: list[group_requirement.Requirement]) -> bool:
    active = [one for one in current.groups if one.phase is table.Phase.ACTIVE]
    return any(sum(map(one.matches, active)) < one.count for one in wants)


def _list_needed_shards(
    groups: list[table.Group],
    shards: abc.Mapping[str, tuple[str, ...]],
    seen: abc.Mapping[str, instance_status.InstanceStatus],
    now: float,
) -> tuple[list[str], list[str]]:
    """Return the weights in use, the most used first, and those of members that leave."""
    counts: collections.Counter[str] = collections.Counter()
    urgent = []
    for group in groups:
        needed = shards.get(group.service, ())
        if len(needed) != len(group.members):
            continue
        counts.update(needed)
        for member, shard in zip(group.members, needed, strict=True):
            if condition.assess_member(member, seen, now) is condition.Condition.LEAVING:
                urgent.append(shard)
    return [shard for shard, _ in counts.most_common()], urgent


def _match_loads(
    free: abc.Mapping[str, instance_status.InstanceStatus],
    usual: list[str],
    urgent: list[str],
    is_short: bool,
) -> dict[str, str]:
    """Return new loads; instances that hold demanded weights keep them."""
    if not usual:
        return {}
    cycle = itertools.cycle(usual)
    demand = list(urgent)
    while len(demand) < len(free):
        demand.append(next(cycle))
    demand = demand[: max(len(free), len(urgent))]
    idle = []
    for name in sorted(free):
        shard = pool.get_shard(free[name])
        if shard in demand:
            demand.remove(shard)
        elif not shard or shard not in usual or not is_short or urgent:
            idle.append(name)
    idle.sort(key=lambda name: (pool.get_shard(free[name]) != "", name))
    return dict(zip(idle, demand, strict=False))
