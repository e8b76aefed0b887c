"""Plans the groups of a data centre."""

from __future__ import annotations

import dataclasses
from collections import abc

import msgspec

from galenavane.config import in_force
from galenavane.control import completeness, condition, donors, pool, sighting, sort, table, want


@dataclasses.dataclass(slots=True, frozen=True)
class Inputs:
    """Everything that a plan depends on.

    :ivar seen: instances of this data centre by name.
    :ivar quiet: epochs of draining groups in which no request is in flight.
    :ivar held_back: instances that have failed too often lately to be given to a group.
    """

    configuration: in_force.InForce
    current: table.Table
    seen: abc.Mapping[str, sighting.Sighting]
    now: float
    quiet: frozenset[int] = frozenset()
    held_back: frozenset[str] = frozenset()


class _Draft:
    """A table that is being made.

    :ivar active: groups that serve or will.
    :ivar draining: groups to be dissolved once they are quiet.
    :ivar names: group names in use.
    :ivar numbers: lowest number that may be free, by service.
    """

    __slots__ = ("active", "draining", "free", "inputs", "names", "next_epoch", "numbers")

    def __init__(self, inputs: Inputs, found: sort.Groups) -> None:
        self.inputs = inputs
        self.active = [*found.kept, *found.outdated]
        self.draining = [one for one in found.going if one.epoch not in inputs.quiet]
        self.next_epoch = inputs.current.next_epoch
        self.names = {one.name for one in (*self.active, *self.draining)}
        self.numbers: dict[str, int] = {}
        self.free = pool.make(
            [*self.active, *self.draining],
            inputs.seen,
            inputs.held_back,
            inputs.configuration.declared.deployment.spares,
            inputs.now,
        )

    def add(self, wanted: want.Want, members: list[table.Member]) -> None:
        """Form a group under the lowest number that is not in use."""
        prefix = f"{wanted.service}.{self.inputs.current.data_centre}."
        number = self.numbers.get(wanted.service, 0)
        while f"{prefix}{number}" in self.names:
            number += 1
        self.numbers[wanted.service] = number
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
        groups = [_in_phase(one, table.Phase.ACTIVE) for one in self.active]
        groups += [_in_phase(one, table.Phase.DRAINING) for one in self.draining]
        return table.replace_groups(self.inputs.current, groups, self.next_epoch)


def plan(inputs: Inputs) -> table.Table:
    """Return the table that should be in force; the current one when all is well."""
    if condition.is_cut_off(inputs.current, inputs.seen, inputs.now):
        return inputs.current
    wants = want.wants_of(inputs.configuration, inputs.current.data_centre)
    found = sort.sort(inputs.current, wants, inputs.seen, inputs.now)
    draft = _Draft(inputs, found)
    missing = _fill(draft, wants, found)
    _replace_outdated(draft, wants, found)
    _break_less_valuable(draft, wants, missing)
    _update_adapters(draft, wants)
    return draft.finish()


def _fill(draft: _Draft, wants: list[want.Want], found: sort.Groups) -> dict[str, int]:
    """Form the groups that nothing serves in place of; return how many can't be, by service."""
    missing = {}
    for wanted in wants:
        present = len(found.kept_of(wanted)) + len(found.outdated_of(wanted))
        missing[wanted.service] = _form(draft, wanted, wanted.count - present)
    return missing


def _form(draft: _Draft, wanted: want.Want, count: int) -> int:
    """Form up to so many groups; return how many found no instances."""
    for formed in range(count):
        members = draft.free.take(wanted)
        if not members:
            return count - formed
        draft.add(wanted, members)
    return 0


def _replace_outdated(draft: _Draft, wants: list[want.Want], found: sort.Groups) -> None:
    """Form successors beside outdated groups, or drain one outdated group at a time."""
    for wanted in wants:
        outdated = found.outdated_of(wanted)
        if not outdated:
            continue
        due = wanted.count - sum(1 for one in draft.active if wanted.matches(one))
        left = _form(draft, wanted, due)
        is_stuck = left > 0 and left == due
        if is_stuck and not _is_under_way(draft, wanted):
            draft.active.remove(outdated[-1])
            draft.draining.append(outdated[-1])


def _is_under_way(draft: _Draft, wanted: want.Want) -> bool:
    """Whether a group of the service is still draining or not yet complete."""
    seen, now = draft.inputs.seen, draft.inputs.now
    if any(one.service == wanted.service for one in draft.draining):
        return True
    return any(
        wanted.matches(one) and not completeness.is_complete(one, seen, now) for one in draft.active
    )


def _break_less_valuable(draft: _Draft, wants: list[want.Want], missing: dict[str, int]) -> None:
    """Drain less valuable groups, and form the missing ones once those are quiet."""
    matching = [one for one in draft.active if any(wanted.matches(one) for wanted in wants)]
    whole = [one for one in matching if one.epoch < draft.inputs.current.next_epoch]
    chosen = donors.choose(wants, missing, whole, draft.free, draft.inputs.seen)
    if chosen is None:
        return
    draft.active = [one for one in draft.active if one not in chosen.groups]
    if any(one.epoch not in draft.inputs.quiet for one in chosen.groups):
        draft.draining += chosen.groups
        return
    for group in chosen.groups:
        for member in group.members:
            draft.free.add(draft.inputs.seen[member.instance])
    wanted = chosen.wanted
    room = draft.free.count(chosen.domain) // wanted.members
    for _ in range(min(room, missing[wanted.service])):
        draft.add(wanted, draft.free.take_from(chosen.domain, wanted))


def _update_adapters(draft: _Draft, wants: list[want.Want]) -> None:
    by_service = {wanted.service: wanted for wanted in wants}
    draft.active = [_with_adapters(one, by_service[one.service]) for one in draft.active]


def _with_adapters(group: table.Group, wanted: want.Want) -> table.Group:
    if group.model != wanted.model or group.adapters == wanted.adapters:
        return group
    return msgspec.structs.replace(group, adapters=wanted.adapters)


def _in_phase(group: table.Group, phase: table.Phase) -> table.Group:
    return group if group.phase is phase else msgspec.structs.replace(group, phase=phase)
