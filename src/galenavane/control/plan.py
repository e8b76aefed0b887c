"""Plans the replica groups of a data centre."""

from __future__ import annotations

import dataclasses
from collections import abc

import msgspec

from galenavane.config import in_force
from galenavane.control import (
    classification,
    completeness,
    condition,
    group_requirement,
    instance_status,
    pool,
    preemption,
    table,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Inputs:
    """Everything that a plan depends on.

    :ivar current: the assignment table in force.
    :ivar statuses: instances of this data centre by name.
    :ivar now: monotonic time in seconds.
    :ivar drained_epochs: epochs of draining groups that have no request in flight.
    :ivar held_back: instances that failed too often lately to be assigned to a group.
    """

    configuration: in_force.Configuration
    current: table.Table
    statuses: abc.Mapping[str, instance_status.InstanceStatus]
    now: float
    drained_epochs: frozenset[int] = frozenset()
    held_back: frozenset[str] = frozenset()


class _Draft:
    """The next table while it is being planned.

    :ivar active: groups that serve or are to serve.
    :ivar draining: groups to dissolve once they have no request in flight.
    :ivar names: group names in use.
    :ivar lowest_numbers: lowest group number that may be unused, by service.
    """

    __slots__ = ("active", "draining", "free", "inputs", "lowest_numbers", "names", "next_epoch")

    def __init__(self, inputs: Inputs, classified: classification.ClassifiedGroups) -> None:
        self.inputs = inputs
        self.active = [*classified.kept, *classified.outdated]
        self.draining = [
            group for group in classified.to_drain if group.epoch not in inputs.drained_epochs
        ]
        self.next_epoch = inputs.current.next_epoch
        self.names = {group.name for group in (*self.active, *self.draining)}
        self.lowest_numbers: dict[str, int] = {}
        self.free = pool.make(
            [*self.active, *self.draining],
            inputs.statuses,
            inputs.held_back,
            inputs.configuration.declared.deployment.spares,
            inputs.now,
        )

    def add(self, requirement: group_requirement.Requirement, members: list[table.Member]) -> None:
        """Form a group under the lowest unused number."""
        prefix = f"{requirement.service}.{self.inputs.current.data_centre}."
        number = self.lowest_numbers.get(requirement.service, 0)
        while f"{prefix}{number}" in self.names:
            number += 1
        self.lowest_numbers[requirement.service] = number
        self.names.add(f"{prefix}{number}")
        group = table.Group(
            f"{prefix}{number}",
            requirement.service,
            requirement.model,
            requirement.version,
            self.next_epoch,
            members,
            requirement.adapters,
        )
        self.next_epoch += 1
        self.active.append(group)

    def finish(self) -> table.Table:
        """Return the planned table."""
        groups = [_set_phase(group, table.Phase.ACTIVE) for group in self.active]
        groups += [_set_phase(group, table.Phase.DRAINING) for group in self.draining]
        return table.replace_groups(self.inputs.current, groups, self.next_epoch)


def plan(inputs: Inputs) -> table.Table:
    """Return the table that should be in force; the current one when nothing should change."""
    if condition.is_partitioned(inputs.current, inputs.statuses, inputs.now):
        return inputs.current
    requirements = group_requirement.compute_requirements(
        inputs.configuration, inputs.current.data_centre
    )
    classified = classification.classify(inputs.current, requirements, inputs.statuses, inputs.now)
    draft = _Draft(inputs, classified)
    missing = _form_missing(draft, requirements, classified)
    _replace_outdated(draft, requirements, classified)
    _preempt_less_valuable(draft, requirements, missing)
    _update_adapters(draft, requirements)
    return draft.finish()


def _form_missing(
    draft: _Draft,
    requirements: list[group_requirement.Requirement],
    classified: classification.ClassifiedGroups,
) -> dict[str, int]:
    """Form missing groups; return how many can't be formed, by service.

    An outdated group that still serves counts as present.
    """
    missing = {}
    for requirement in requirements:
        present = len(classified.list_kept(requirement)) + len(
            classified.list_outdated(requirement)
        )
        missing[requirement.service] = _form_groups(draft, requirement, requirement.count - present)
    return missing


def _form_groups(draft: _Draft, requirement: group_requirement.Requirement, count: int) -> int:
    """Form up to ``count`` groups; return how many could not be formed for lack of instances."""
    for formed in range(count):
        members = draft.free.take(requirement)
        if not members:
            return count - formed
        draft.add(requirement, members)
    return 0


def _replace_outdated(
    draft: _Draft,
    requirements: list[group_requirement.Requirement],
    classified: classification.ClassifiedGroups,
) -> None:
    """Form successors beside outdated groups; without room for any, drain one group at a time."""
    for requirement in requirements:
        outdated = classified.list_outdated(requirement)
        if not outdated:
            continue
        to_form = requirement.count - sum(1 for group in draft.active if requirement.matches(group))
        unformed = _form_groups(draft, requirement, to_form)
        is_stuck = unformed > 0 and unformed == to_form
        if is_stuck and not _is_replacing(draft, requirement):
            draft.active.remove(outdated[-1])
            draft.draining.append(outdated[-1])


def _is_replacing(draft: _Draft, requirement: group_requirement.Requirement) -> bool:
    """Whether a group of the service is draining or not yet complete."""
    statuses, now = draft.inputs.statuses, draft.inputs.now
    if any(group.service == requirement.service for group in draft.draining):
        return True
    return any(
        requirement.matches(group) and not completeness.is_complete(group, statuses, now)
        for group in draft.active
    )


def _preempt_less_valuable(
    draft: _Draft, requirements: list[group_requirement.Requirement], missing: dict[str, int]
) -> None:
    """Drain less valuable groups, and form the missing ones once those have drained."""
    matching = [
        group
        for group in draft.active
        if any(requirement.matches(group) for requirement in requirements)
    ]
    existing = [group for group in matching if group.epoch < draft.inputs.current.next_epoch]
    preempted = preemption.choose_groups(
        requirements, missing, existing, draft.free, draft.inputs.statuses
    )
    if preempted is None:
        return
    draft.active = [group for group in draft.active if group not in preempted.groups]
    if any(group.epoch not in draft.inputs.drained_epochs for group in preempted.groups):
        draft.draining += preempted.groups
        return
    for group in preempted.groups:
        for member in group.members:
            draft.free.add(draft.inputs.statuses[member.instance])
    requirement = preempted.requirement
    formable = draft.free.count(preempted.domain) // requirement.members
    for _ in range(min(formable, missing[requirement.service])):
        draft.add(requirement, draft.free.take_from(preempted.domain, requirement))


def _update_adapters(draft: _Draft, requirements: list[group_requirement.Requirement]) -> None:
    by_service = {requirement.service: requirement for requirement in requirements}
    draft.active = [_set_adapters(group, by_service[group.service]) for group in draft.active]


def _set_adapters(group: table.Group, requirement: group_requirement.Requirement) -> table.Group:
    if group.model != requirement.model or group.adapters == requirement.adapters:
        return group
    return msgspec.structs.replace(group, adapters=requirement.adapters)


def _set_phase(group: table.Group, phase: table.Phase) -> table.Group:
    return group if group.phase is phase else msgspec.structs.replace(group, phase=phase)
