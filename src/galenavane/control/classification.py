"""Sorts the current groups by what is to become of them."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.control import completeness, condition, group_requirement, instance_status, table


@dataclasses.dataclass(slots=True)
class ClassifiedGroups:
    """The current groups, without those that have lost a member.

    :ivar kept: groups as the preset wants them.
    :ivar outdated: groups that serve until their successors do.
    :ivar to_drain: groups to drain and then to dissolve.
    """

    kept: list[table.Group] = dataclasses.field(default_factory=list)
    outdated: list[table.Group] = dataclasses.field(default_factory=list)
    to_drain: list[table.Group] = dataclasses.field(default_factory=list)

    def list_kept(self, wanted: group_requirement.Requirement) -> list[table.Group]:
        """Return the kept groups of a want."""
        return [group for group in self.kept if group.service == wanted.service]

    def list_outdated(self, wanted: group_requirement.Requirement) -> list[table.Group]:
        """Return the outdated groups of a want's service."""
        return [group for group in self.outdated if group.service == wanted.service]


def classify(
    current: table.Table,
    wants: list[group_requirement.Requirement],
    seen: abc.Mapping[str, instance_status.InstanceStatus],
    now: float,
) -> ClassifiedGroups:
    """Sort the groups of a table."""
    found = ClassifiedGroups()
    by_service = {one.service: one for one in wants}
    matching: dict[str, list[table.Group]] = {one.service: [] for one in wants}
    old: dict[str, list[table.Group]] = {one.service: [] for one in wants}
    for group in sorted(current.groups, key=_get_sort_key):
        is_at = condition.assess_group(group, seen, now)
        if is_at is condition.Condition.LOST:
            continue
        wanted = by_service.get(group.service)
        if wanted is None or is_at is condition.Condition.LEAVING:
            found.to_drain.append(group)
        elif wanted.matches(group):
            matching[group.service].append(group)
        else:
            old[group.service].append(group)
    for wanted in wants:
        _classify_service(found, wanted, matching[wanted.service], old[wanted.service], seen, now)
    return found


def _classify_service(
    found: ClassifiedGroups,
    wanted: group_requirement.Requirement,
    matching: list[table.Group],
    old: list[table.Group],
    seen: abc.Mapping[str, instance_status.InstanceStatus],
    now: float,
) -> None:
    """Keep what is wanted; an old group goes when a new one serves in its place."""
    kept = matching[: wanted.count]
    found.kept += kept
    found.to_drain += matching[wanted.count :]
    serving = sum(1 for group in kept if completeness.is_complete(group, seen, now))
    active = [group for group in old if group.phase is table.Phase.ACTIVE]
    stays = max(0, wanted.count - serving)
    found.outdated += active[:stays]
    found.to_drain += active[stays:]
    found.to_drain += [group for group in old if group.phase is table.Phase.DRAINING]


def _get_sort_key(group: table.Group) -> tuple[bool, str, int]:
    return group.phase is table.Phase.DRAINING, group.service, table.parse_number(group)
