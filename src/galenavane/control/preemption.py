"""Decides which groups to preempt so that a more valuable one can be formed."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.control import group_requirement, instance_status, pool, table

MIN_GAIN_SHARE = 0.1
RELOCATION_LOSS_SHARE = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Preemption:
    """Groups to preempt in one fabric domain.

    :ivar requirement: the requirement that the instances are used for.
    :ivar gain: value of the groups that can then be formed, minus the value of the preempted ones.
    """

    requirement: group_requirement.Requirement
    domain: str
    groups: tuple[table.Group, ...]
    gain: float


@dataclasses.dataclass(slots=True, frozen=True)
class _Preemptible:
    group: table.Group
    loss: float


def choose_groups(
    requirements: list[group_requirement.Requirement],
    missing: abc.Mapping[str, int],
    groups: list[table.Group],
    free: pool.Pool,
    statuses: abc.Mapping[str, instance_status.InstanceStatus],
) -> Preemption | None:
    """Return the groups whose preemption gains most, or ``None`` when none is worth it.

    :param missing: number of groups that can't be formed, by service.
    :param groups: existing groups that could be preempted.
    """
    by_domain = _group_by_domain(groups, statuses)
    choices = []
    for requirement in requirements:
        for count in range(1, missing.get(requirement.service, 0) + 1):
            for domain in sorted(by_domain):
                candidates = _list_preemptible(
                    by_domain[domain], domain, requirements, requirement, free
                )
                choice = _choose_in_domain(requirement, count, domain, candidates, free)
                if choice is not None:
                    choices.append(choice)
    return max(choices, key=lambda choice: (choice.gain, choice.domain), default=None)


def _group_by_domain(
    groups: list[table.Group], statuses: abc.Mapping[str, instance_status.InstanceStatus]
) -> dict[str, list[table.Group]]:
    by_domain: dict[str, list[table.Group]] = {}
    for group in groups:
        domain = statuses[group.members[0].instance].instance.fabric_domain
        by_domain.setdefault(domain, []).append(group)
    return by_domain


def _list_preemptible(
    groups: list[table.Group],
    domain: str,
    requirements: list[group_requirement.Requirement],
    requirement: group_requirement.Requirement,
    free: pool.Pool,
) -> list[_Preemptible]:
    """Return the groups that may be preempted, the least value lost per member first."""
    values = {other.service: other.value for other in requirements}
    free_counts = {
        name: len(free_domain.free) for name, free_domain in free.domains.items() if name != domain
    }
    preemptible = []
    for group in sorted(groups, key=lambda group: group.name):
        if group.service == requirement.service:
            continue
        loss = values[group.service]
        relocation_domain = max(
            free_counts, key=lambda name: (free_counts[name], name), default=None
        )
        if relocation_domain is not None and free_counts[relocation_domain] >= len(group.members):
            free_counts[relocation_domain] -= len(group.members)
            loss *= RELOCATION_LOSS_SHARE
        preemptible.append(_Preemptible(group, loss))
    preemptible.sort(key=_get_sort_key)
    return preemptible


def _get_sort_key(candidate: _Preemptible) -> tuple[bool, float, str]:
    is_active = candidate.group.phase is table.Phase.ACTIVE
    return is_active, candidate.loss / len(candidate.group.members), candidate.group.name


def _choose_in_domain(
    requirement: group_requirement.Requirement,
    count: int,
    domain: str,
    candidates: list[_Preemptible],
    free: pool.Pool,
) -> Preemption | None:
    needed = requirement.members * count - free.count(domain)
    chosen: list[_Preemptible] = []
    for candidate in candidates:
        if needed <= 0:
            break
        chosen.append(candidate)
        needed -= len(candidate.group.members)
    if needed > 0 or not chosen:
        return None
    for candidate in sorted(chosen, key=lambda candidate: -candidate.loss):
        if needed + len(candidate.group.members) <= 0:
            chosen.remove(candidate)
            needed += len(candidate.group.members)
    loss = sum(candidate.loss for candidate in chosen)
    gain = requirement.value * count - loss
    if gain <= loss * MIN_GAIN_SHARE:
        return None
    return Preemption(requirement, domain, tuple(candidate.group for candidate in chosen), gain)
