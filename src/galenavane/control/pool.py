"""Keeps the free instances of a data centre and picks the members of new groups."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.control import condition, group_requirement, instance_status, table


@dataclasses.dataclass(slots=True)
class Domain:
    """Free instances of one fabric domain.

    :ivar free: instance statuses by name.
    :ivar names_by_shard: names of free instances by the weights that they have in memory.
    """

    free: dict[str, instance_status.InstanceStatus] = dataclasses.field(default_factory=dict)
    names_by_shard: dict[str, list[str]] = dataclasses.field(default_factory=dict)


class Pool:
    """Free instances by fabric domain."""

    __slots__ = ("domains", "spares")

    def __init__(self, spares: int) -> None:
        self.spares = spares
        self.domains: dict[str, Domain] = {}

    def add(self, status: instance_status.InstanceStatus) -> None:
        """Add a free instance."""
        domain = self.domains.setdefault(status.instance.fabric_domain, Domain())
        domain.free[status.instance.name] = status
        domain.names_by_shard.setdefault(get_shard(status), []).append(status.instance.name)

    def take(self, requirement: group_requirement.Requirement) -> list[table.Member]:
        """Take the members of one group from the best fabric domain.

        :returns: an empty list when no domain has enough free instances.
        """
        fitting = [
            name for name, domain in self.domains.items() if len(domain.free) >= requirement.members
        ]
        if not fitting:
            return []
        best = min(fitting, key=lambda name: self._rank(name, requirement))
        return self.take_from(best, requirement)

    def take_from(
        self, name: str, requirement: group_requirement.Requirement
    ) -> list[table.Member]:
        """Take the members of one group from a fabric domain, which must have enough instances."""
        domain = self.domains[name]
        chosen = [_find_holder(domain, shard) for shard in requirement.shards]
        others = _iterate_others(domain, set(chosen))
        names = [holder if holder is not None else next(others) for holder in chosen]
        return [make_member(_remove(domain, name)) for name in names]

    def count(self, name: str) -> int:
        """Return how many instances of a fabric domain are free."""
        domain = self.domains.get(name)
        return len(domain.free) if domain is not None else 0

    def _rank(
        self, name: str, requirement: group_requirement.Requirement
    ) -> tuple[int, bool, int, str]:
        domain = self.domains[name]
        loads = sum(1 for shard in requirement.shards if not domain.names_by_shard.get(shard))
        left_over = len(domain.free) - requirement.members
        return loads, left_over < self.spares, -left_over, name


def make(
    kept_groups: abc.Iterable[table.Group],
    statuses: abc.Mapping[str, instance_status.InstanceStatus],
    held_back: abc.Container[str],
    spares: int,
    now: float,
) -> Pool:
    """Return the pool of available instances that are in no kept group and not held back."""
    used = {member.instance for group in kept_groups for member in group.members}
    pool = Pool(spares)
    for name in sorted(statuses):
        status = statuses[name]
        is_usable = name not in used and name not in held_back
        if is_usable and condition.is_available(status, now):
            pool.add(status)
    return pool


def get_shard(status: instance_status.InstanceStatus) -> str:
    """Return the weights that an instance has in memory or is loading."""
    return status.report.shard if status.report is not None else ""


def make_member(status: instance_status.InstanceStatus) -> table.Member:
    """Return the member that an instance becomes."""
    assert status.report is not None
    return table.Member(status.instance.name, status.instance.address, status.report.incarnation)


def _find_holder(domain: Domain, shard: str) -> str | None:
    holders = domain.names_by_shard.get(shard)
    return holders[0] if holders else None


def _iterate_others(domain: Domain, chosen: set[str | None]) -> abc.Iterator[str]:
    """Iterate over the other free instances, those without weights in memory first."""
    empty = [name for name in domain.names_by_shard.get("", []) if name not in chosen]
    return iter(empty + [name for name in domain.free if name not in chosen and name not in empty])


def _remove(domain: Domain, name: str) -> instance_status.InstanceStatus:
    status = domain.free.pop(name)
    domain.names_by_shard[get_shard(status)].remove(name)
    return status
