"""Keeps the replica groups of all listed targets, and rebuilds only those that changed.

A fleet of a thousand targets has changes many times a second while groups are repaired. Assembling
every group after each of them would cost each entry more than serving its requests.
"""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.catalog import engine
from galenavane.fleet import replica_group, target

_Groups = dict[replica_group.Key, replica_group.Group]


@dataclasses.dataclass(slots=True)
class ServiceGroups:
    """The groups of one service.

    :ivar members: members of each group by target id.
    :ivar stale: groups that changed since they were assembled.
    :ivar constants: with which the groups were assembled, ``None`` before the first time.
    :ivar groups: assembled groups.
    :ivar serving: assembled groups that serve, by model.
    """

    members: dict[replica_group.Key, dict[str, target.Target]] = dataclasses.field(
        default_factory=dict
    )
    stale: set[replica_group.Key] = dataclasses.field(default_factory=set)
    constants: engine.Engine | None = None
    groups: _Groups = dataclasses.field(default_factory=dict)
    serving: dict[str, _Groups] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class GroupIndex:
    """The groups of all services, by service name."""

    services: dict[str, ServiceGroups] = dataclasses.field(default_factory=dict)


def add(index: GroupIndex, member: target.Target) -> None:
    """Add a target to the group that it reports."""
    key = find_key(member)
    if key is None:
        return
    service_groups = index.services.setdefault(member.service, ServiceGroups())
    service_groups.members.setdefault(key, {})[member.id] = member
    service_groups.stale.add(key)


def discard(index: GroupIndex, member: target.Target) -> None:
    """Remove a target from the group that it reported."""
    key = find_key(member)
    service_groups = index.services.get(member.service)
    if key is None or service_groups is None:
        return
    members = service_groups.members.get(key, {})
    members.pop(member.id, None)
    if not members:
        service_groups.members.pop(key, None)
    service_groups.stale.add(key)


def list_fellows(index: GroupIndex, member: target.Target) -> abc.Collection[target.Target]:
    """Return the members of a target's group."""
    key = find_key(member)
    service_groups = index.services.get(member.service)
    if key is None or service_groups is None:
        return ()
    return service_groups.members.get(key, {}).values()


def find_groups(
    index: GroupIndex, service: str, constants: engine.Engine
) -> abc.Mapping[replica_group.Key, replica_group.Group]:
    """Return the groups of a service; the mapping changes with the index."""
    return _refresh(index, service, constants).groups


def find_group(index: GroupIndex, key: replica_group.Key) -> replica_group.Group | None:
    """Return a group of any service, also of one that is no longer declared."""
    for service, service_groups in index.services.items():
        if service_groups.constants is not None and key in service_groups.members:
            return find_groups(index, service, service_groups.constants).get(key)
    return None


def find_serving(
    index: GroupIndex, service: str, constants: engine.Engine, model: str
) -> abc.Collection[replica_group.Group]:
    """Return the groups that serve a model; the collection changes with the index."""
    return _refresh(index, service, constants).serving.get(model, {}).values()


def _refresh(index: GroupIndex, service: str, constants: engine.Engine) -> ServiceGroups:
    service_groups = index.services.setdefault(service, ServiceGroups())
    if constants != service_groups.constants:
        service_groups.constants = constants
        service_groups.stale.update(service_groups.members)
    for key in service_groups.stale:
        _rebuild(service_groups, key, constants)
    service_groups.stale.clear()
    return service_groups


def _rebuild(
    service_groups: ServiceGroups, key: replica_group.Key, constants: engine.Engine
) -> None:
    former = service_groups.groups.pop(key, None)
    if former is not None:
        service_groups.serving.get(former.model, {}).pop(key, None)
    members = service_groups.members.get(key)
    if not members:
        return
    group = replica_group.make(key, members.values(), constants)
    service_groups.groups[key] = group
    if group.is_serving:
        service_groups.serving.setdefault(group.model, {})[key] = group


def find_key(member: target.Target) -> replica_group.Key | None:
    """Return the key of the group that a target reports, ``None`` without one."""
    membership = member.membership
    return replica_group.Key(membership.group, membership.epoch) if membership else None
