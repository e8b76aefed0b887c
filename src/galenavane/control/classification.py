"""Classifies the current groups into those to keep, to replace and to drain."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.control import completeness, condition, group_requirement, instance_status, table


@dataclasses.dataclass(slots=True)
class ClassifiedGroups:
    """The current groups, except those that have lost a member.

    :ivar kept: groups that match the preset.
    :ivar outdated: groups that serve until their successors do.
    :ivar to_drain: groups to drain and then dissolve.
    """

    kept: list[table.Group] = dataclasses.field(default_factory=list)
    outdated: list[table.Group] = dataclasses.field(default_factory=list)
    to_drain: list[table.Group] = dataclasses.field(default_factory=list)

    def list_kept(self, requirement: group_requirement.Requirement) -> list[table.Group]:
        """Return the kept groups of a requirement's service."""
        return [group for group in self.kept if group.service == requirement.service]

    def list_outdated(self, requirement: group_requirement.Requirement) -> list[table.Group]:
        """Return the outdated groups of a requirement's service."""
        return [group for group in self.outdated if group.service == requirement.service]


def classify(
    current: table.Table,
    requirements: list[group_requirement.Requirement],
    statuses: abc.Mapping[str, instance_status.InstanceStatus],
    now: float,
) -> ClassifiedGroups:
    """Classify the groups of a table."""
    classified = ClassifiedGroups()
    by_service = {requirement.service: requirement for requirement in requirements}
    matching: dict[str, list[table.Group]] = {
        requirement.service: [] for requirement in requirements
    }
    outdated: dict[str, list[table.Group]] = {
        requirement.service: [] for requirement in requirements
    }
    for group in sorted(current.groups, key=_get_sort_key):
        group_condition = condition.assess_group(group, statuses, now)
        if group_condition is condition.Condition.LOST:
            continue
        requirement = by_service.get(group.service)
        if requirement is None or group_condition is condition.Condition.LEAVING:
            classified.to_drain.append(group)
        elif requirement.matches(group):
            matching[group.service].append(group)
        else:
            outdated[group.service].append(group)
    for requirement in requirements:
        _classify_service(
            classified,
            requirement,
            matching[requirement.service],
            outdated[requirement.service],
            statuses,
            now,
        )
    return classified


def _classify_service(
    classified: ClassifiedGroups,
    requirement: group_requirement.Requirement,
    matching: list[table.Group],
    outdated: list[table.Group],
    statuses: abc.Mapping[str, instance_status.InstanceStatus],
    now: float,
) -> None:
    """Classify one service's groups; an outdated one drains once a complete one replaces it."""
    kept = matching[: requirement.count]
    classified.kept += kept
    classified.to_drain += matching[requirement.count :]
    serving = sum(1 for group in kept if completeness.is_complete(group, statuses, now))
    active = [group for group in outdated if group.phase is table.Phase.ACTIVE]
    stay_count = max(0, requirement.count - serving)
    classified.outdated += active[:stay_count]
    classified.to_drain += active[stay_count:]
    classified.to_drain += [group for group in outdated if group.phase is table.Phase.DRAINING]


def _get_sort_key(group: table.Group) -> tuple[bool, str, int]:
    return group.phase is table.Phase.DRAINING, group.service, table.parse_number(group)
