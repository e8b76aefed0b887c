"""Decides which groups to break so that a more valuable one can be completed."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.control import group_requirement, instance_status, pool, table

MIN_GAIN_SHARE = 0.1
RELOCATION_LOSS_SHARE = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Preemption:
    """Groups to break in one fabric domain.

    :ivar gain: value of the groups that can be completed, less the value of those broken.
    """

    wanted: group_requirement.Requirement
    domain: str
    groups: tuple[table.Group, ...]
    gain: float


@dataclasses.dataclass(slots=True, frozen=True)
class _Preemptible:
    group: table.Group
    loss: float


def choose_groups(
    wants: list[group_requirement.Requirement],
    missing: abc.Mapping[str, int],
    groups: list[table.Group],
    free: pool.Pool,
    seen: abc.Mapping[str, instance_status.InstanceStatus],
) -> Preemption | None:
    """Return the best groups to break, or ``None`` when nothing is worth it.

    :param missing: groups that can't be formed, by service.
    :param groups: whole groups that could be broken.
    """
    by_domain = _group_by_domain(groups, seen)
    choices = []
    for wanted in wants:
        for count in range(1, missing.get(wanted.service, 0) + 1):
            for domain in sorted(by_domain):
                candidates = _list_preemptible(by_domain[domain], domain, wants, wanted, free)
                found = _choose_in_domain(wanted, count, domain, candidates, free)
                if found is not None:
                    choices.append(found)
    return max(choices, key=lambda one: (one.gain, one.domain), default=None)


def _group_by_domain(
    groups: list[table.Group], seen: abc.Mapping[str, instance_status.InstanceStatus]
) -> dict[str, list[table.Group]]:
    found: dict[str, list[table.Group]] = {}
    for group in groups:
        domain = seen[group.members[0].instance].instance.fabric_domain
        found.setdefault(domain, []).append(group)
    return found


def _list_preemptible(
    groups: list[table.Group],
    domain: str,
    wants: list[group_requirement.Requirement],
    wanted: group_requirement.Requirement,
    free: pool.Pool,
) -> list[_Preemptible]:
    """Return what may be broken, the cheapest by member first."""
    values = {one.service: one.value for one in wants}
    room = {name: len(one.free) for name, one in free.domains.items() if name != domain}
    found = []
    for group in sorted(groups, key=lambda one: one.name):
        if group.service == wanted.service:
            continue
        loss = values[group.service]
        target = max(room, key=lambda name: (room[name], name), default=None)
        if target is not None and room[target] >= len(group.members):
            room[target] -= len(group.members)
            loss *= RELOCATION_LOSS_SHARE
        found.append(_Preemptible(group, loss))
    found.sort(key=_get_sort_key)
    return found


def _get_sort_key(one: _Preemptible) -> tuple[bool, float, str]:
    is_active = one.group.phase is table.Phase.ACTIVE
    return is_active, one.loss / len(one.group.members), one.group.name


def _choose_in_domain(
    wanted: group_requirement.Requirement,
    count: int,
    domain: str,
    candidates: list[_Preemptible],
    free: pool.Pool,
) -> Preemption | None:
    need = wanted.members * count - free.count(domain)
    taken: list[_Preemptible] = []
    for one in candidates:
        if need <= 0:
            break
        taken.append(one)
        need -= len(one.group.members)
    if need > 0 or not taken:
        return None
    for one in sorted(taken, key=lambda one: -one.loss):
        if need + len(one.group.members) <= 0:
            taken.remove(one)
            need += len(one.group.members)
    loss = sum(one.loss for one in taken)
    gain = wanted.value * count - loss
    if gain <= loss * MIN_GAIN_SHARE:
        return None
    return Preemption(wanted, domain, tuple(one.group for one in taken), gain)
