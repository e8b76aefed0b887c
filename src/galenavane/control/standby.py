"""Decides which weights free instances hold ready, so that a repair needs no load."""

from __future__ import annotations

import collections
import itertools
from collections import abc

from galenavane.control import condition, pool, sighting, table, want


def assign(
    current: table.Table,
    wants: list[want.Want],
    seen: abc.Mapping[str, sighting.Sighting],
    held_back: abc.Container[str],
    now: float,
) -> dict[str, str]:
    """Return the weights that free instances are to load, by instance name.

    One spare serves every group of its fabric domain that runs the same model, as one parity
    block covers several data blocks.
    """
    shards = {one.service: one.shards for one in wants}
    free = pool.make(current.groups, seen, held_back, 0, now)
    groups = _by_domain(current, seen)
    is_short = _is_short(current, wants)
    loads: dict[str, str] = {}
    for name in sorted(free.domains):
        usual, urgent = _demand(groups.get(name, []), shards, seen, now)
        loads.update(_match(free.domains[name].free, usual, urgent, is_short))
    return loads


def _by_domain(
    current: table.Table, seen: abc.Mapping[str, sighting.Sighting]
) -> dict[str, list[table.Group]]:
    found: dict[str, list[table.Group]] = {}
    for group in current.groups:
        leader = seen.get(group.members[0].instance)
        if leader is not None:
            found.setdefault(leader.instance.fabric_domain, []).append(group)
    return found


def _is_short(current: table.Table, wants: list[want.Want]) -> bool:
    active = [one for one in current.groups if one.phase is table.Phase.ACTIVE]
    return any(sum(map(one.matches, active)) < one.count for one in wants)


def _demand(
    groups: list[table.Group],
    shards: abc.Mapping[str, tuple[str, ...]],
    seen: abc.Mapping[str, sighting.Sighting],
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
            if condition.judge_member(member, seen, now) is condition.Condition.LEAVING:
                urgent.append(shard)
    return [shard for shard, _ in counts.most_common()], urgent


def _match(
    free: abc.Mapping[str, sighting.Sighting],
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
        shard = pool.shard_of(free[name])
        if shard in demand:
            demand.remove(shard)
        elif not shard or shard not in usual or not is_short or urgent:
            idle.append(name)
    idle.sort(key=lambda name: (pool.shard_of(free[name]) != "", name))
    return dict(zip(idle, demand, strict=False))
