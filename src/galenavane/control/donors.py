"""Decides which groups to break so that a more valuable one can be completed."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.control import pool, sighting, table, want

MIN_GAIN_SHARE = 0.1
MOVE_LOSS_SHARE = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """Groups to break in one fabric domain.

    :ivar gain: value of the groups that can be completed, less the value of those broken.
    """

    wanted: want.Want
    domain: str
    groups: tuple[table.Group, ...]
    gain: float


@dataclasses.dataclass(slots=True, frozen=True)
class _Candidate:
    group: table.Group
    loss: float


def choose(
    wants: list[want.Want],
    missing: abc.Mapping[str, int],
    groups: list[table.Group],
    free: pool.Pool,
    seen: abc.Mapping[str, sighting.Sighting],
) -> Choice | None:
    """Return the best groups to break, or ``None`` when nothing is worth it.

    :param missing: groups that can't be formed, by service.
    :param groups: whole groups that could be broken.
    """
    by_domain = _by_domain(groups, seen)
    choices = []
    for wanted in wants:
        for count in range(1, missing.get(wanted.service, 0) + 1):
            for domain in sorted(by_domain):
                candidates = _candidates(by_domain[domain], domain, wants, wanted, free)
                found = _choose_in(wanted, count, domain, candidates, free)
                if found is not None:
                    choices.append(found)
    return max(choices, key=lambda one: (one.gain, one.domain), default=None)


def _by_domain(
    groups: list[table.Group], seen: abc.Mapping[str, sighting.Sighting]
) -> dict[str, list[table.Group]]:
    found: dict[str, list[table.Group]] = {}
    for group in groups:
        domain = seen[group.members[0].instance].instance.fabric_domain
        found.setdefault(domain, []).append(group)
    return found


def _candidates(
    groups: list[table.Group],
    domain: str,
    wants: list[want.Want],
    wanted: want.Want,
    free: pool.Pool,
) -> list[_Candidate]:
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
            loss *= MOVE_LOSS_SHARE
        found.append(_Candidate(group, loss))
    found.sort(key=_cost_by_member)
    return found


def _cost_by_member(one: _Candidate) -> tuple[bool, float, str]:
    is_active = one.group.phase is table.Phase.ACTIVE
    return is_active, one.loss / len(one.group.members), one.group.name


def _choose_in(
    wanted: want.Want,
    count: int,
    domain: str,
    candidates: list[_Candidate],
    free: pool.Pool,
) -> Choice | None:
    need = wanted.members * count - free.count(domain)
    taken: list[_Candidate] = []
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
    return Choice(wanted, domain, tuple(one.group for one in taken), gain)
