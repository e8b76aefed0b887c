"""Plans the groups of a data centre."""

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

    :ivar statuses: instances of this data centre by name.
    :ivar drained_epochs: epochs of draining groups in which no request is in flight.
    :ivar held_back: instances that have failed too often lately to be given to a group.
    """

    configuration: in_force.InForce
    current: table.Table
    statuses: abc.Mapping[str, instance_status.InstanceStatus]
    now: float
    drained_epochs: frozenset[int] = frozenset()
    held_back: frozenset[str] = frozenset()


class _Draft:
    """A table that is being made.

    :ivar active: groups that serve or will.
    :ivar draining: groups to be dissolved once they are quiet.
    :ivar names: group names in use.
    :ivar lowest_numbers: lowest number that may be free, by service.
    """

    __slots__ = ("active", "draining", "free", "inputs", "lowest_numbers", "names", "next_epoch")

    def __init__(self, inputs: Inputs, found: classification.ClassifiedGroups) -> None:
        self.inputs = inputs
        self.active = [*found.kept, *found.outdated]
        self.draining = [one for one in found.to_drain if one.epoch not in inputs.drained_epochs]
        self.next_epoch = inputs.current.next_epoch
        self.names = {one.name for one in (*self.active, *self.draining)}
        self.lowest_numbers: dict[str, int] = {}
        self.free = pool.make(
            [*self.active, *self.draining],
            inputs.statuses,
            inputs.held_back,
            inputs.configuration.declared.deployment.spares,
            inputs.now,
        )

    def add(self, wanted: group_requirement.Requirement, members: list[table.Member]) -> None:
        """Form a group under the lowest number that is not in use."""
        prefix = f"{wanted.service}.{self.inputs.current.data_centre}."
        number = self.lowest_numbers.get(wanted.service, 0)
        while f"{prefix}{number}" in self.names:
            number += 1
        self.lowest_numbers[wanted.service] = number
        self.names.add(f"{prefix}{number}")
        group = table.Group(
            f"{prefix}{number}",
            wanted.service,
            wanted.model,
            wanted.version,
            self.next_epoch,
            members,
            wanted.adapters,
        )
        self.next_epoch += 1
        self.active.append(group)

    def finish(self) -> table.Table:
        """Return the table."""
        groups = [_set_phase(one, table.Phase.ACTIVE) for one in self.active]
        groups += [_set_phase(one, table.Phase.DRAINING) for one in self.draining]
        return table.replace_groups(self.inputs.current, groups, self.next_epoch)


def plan(inputs: Inputs) -> table.Table:
    """Return the table that should be in force; the current one when all is well."""
    if condition.is_partitioned(inputs.current, inputs.statuses, inputs.now):
        return inputs.current
    wants = group_requirement.compute_requirements(inputs.configuration, inputs.current.data_centre)
    found = classification.classify(inputs.current, wants, inputs.statuses, inputs.now)
    draft = _Draft(inputs, found)
    missing = _form_missing(draft, wants, found)
    _replace_outdated(draft, wants, found)
    _preempt_less_valuable(draft, wants, missing)
    _update_adapters(draft, wants)
    return draft.finish()


def _form_missing(
    draft: _Draft,
    wants: list[group_requirement.Requirement],
    found: classification.ClassifiedGroups,
) -> dict[str, int]:
    """Form the groups that nothing serves in place of; return how many can't be, by service."""
    missing = {}
    for wanted in wants:
        present = len(found.list_kept(wanted)) + len(found.list_outdated(wanted))
        missing[wanted.service] = _form_groups(draft, wanted, wanted.count - present)
    return missing


def _form_groups(draft: _Draft, wanted: group_requirement.Requirement, count: int) -> int:
    """Form up to so many groups; return how many found no instances."""
    for formed in range(count):
        members = draft.free.take(wanted)
        if not members:
            return count - formed
        draft.add(wanted, members)
    return 0


def _replace_outdated(
    draft: _Draft,
    wants: list[group_requirement.Requirement],
    found: classification.ClassifiedGroups,
) -> None:
    """Form successors beside outdated groups, or drain one outdated group at a time."""
    for wanted in wants:
        outdated = found.list_outdated(wanted)
        if not outdated:
            continue
        due = wanted.count - sum(1 for one in draft.active if wanted.matches(one))
        left = _form_groups(draft, wanted, due)
        is_stuck = left > 0 and left == due
        if is_stuck and not _is_replacing(draft, wanted):
            draft.active.remove(outdated[-1])
            draft.draining.append(outdated[-1])


def _is_replacing(draft: _Draft, wanted: group_requirement.Requirement) -> bool:
    """Whether a group of the service is still draining or not yet complete."""
    seen, now = draft.inputs.statuses, draft.inputs.now
    if any(one.service == wanted.service for one in draft.draining):
        return True
    return any(
        wanted.matches(one) and not completeness.is_complete(one, seen, now) for one in draft.active
    )


def _preempt_less_valuable(
    draft: _Draft, wants: list[group_requirement.Requirement], missing: dict[str, int]
) -> None:
    """Drain less valuable groups, and form the missing ones once those are quiet."""
    matching = [one for one in draft.active if any(wanted.matches(one) for wanted in wants)]
    whole = [one for one in matching if one.epoch < draft.inputs.current.next_epoch]
    chosen = preemption.choose_groups(wants, missing, whole, draft.free, draft.inputs.statuses)
    if chosen is None:
        return
    draft.active = [one for one in draft.active if one not in chosen.groups]
    if any(one.epoch not in draft.inputs.drained_epochs for one in chosen.groups):
        draft.draining += chosen.groups
        return
    for group in chosen.groups:
        for member in group.members:
            draft.free.add(draft.inputs.statuses[member.instance])
    wanted = chosen.wanted
    room = draft.free.count(chosen.domain) // wanted.members
    for _ in range(min(room, missing[wanted.service])):
        draft.add(wanted, draft.free.take_from(chosen.domain, wanted))


def _update_adapters(draft: _Draft, wants: list[group_requirement.Requirement]) -> None:
    by_service = {wanted.service: wanted for wanted in wants}
    draft.active = [_set_adapters(one, by_service[one.service]) for one in draft.active]


def _set_adapters(group: table.Group, wanted: group_requirement.Requirement) -> table.Group:
    if group.model != wanted.model or group.adapters == wanted.adapters:
        return group
    return msgspec.structs.replace(group, adapters=wanted.adapters)


def _set_phase(group: table.Group, phase: table.Phase) -> table.Group:
    return group if group.phase is phase else msgspec.structs.replace(group, phase=phase)
