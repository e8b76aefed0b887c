"""Plans the groups of a data centre."""

from __future__ import annotations

import dataclasses
from collections import abc

import msgspec

from galenavane.config import in_force
from galenavane.control import sighting, table
from galenavane.platform import instance


@dataclasses.dataclass(slots=True, frozen=True)
class Inputs:
    """Everything that a plan depends on.

    :ivar seen: instances of this data centre by name.
    """

    configuration: in_force.InForce
    current: table.Table
    seen: abc.Mapping[str, sighting.Sighting]
    now: float


def plan(inputs: Inputs) -> table.Table:
    """Return the table that should be in force; equal to the current one when all is well."""
    kept = _keep(inputs)
    free = _free_instances(inputs, kept)
    groups = list(kept)
    next_epoch = inputs.current.next_epoch
    for run in inputs.configuration.runs():
        service = inputs.configuration.declared.service(run.service)
        assert service is not None
        wanted = run.replicas.get(inputs.current.data_centre, 0)
        names = {group.name for group in groups}
        for number in range(wanted):
            name = f"{run.service}.{inputs.current.data_centre}.{number}"
            members = [] if name in names else _take(free, service.members)
            if not members:
                continue
            group = table.Group(
                name, run.service, run.model, run.version, next_epoch, members, run.adapters
            )
            groups.append(group)
            next_epoch += 1
    groups.sort(key=lambda group: group.name)
    return msgspec.structs.replace(inputs.current, groups=groups, next_epoch=next_epoch)


def _keep(inputs: Inputs) -> list[table.Group]:
    wanted = {
        f"{run.service}.{inputs.current.data_centre}.{number}": run
        for run in inputs.configuration.runs()
        for number in range(run.replicas.get(inputs.current.data_centre, 0))
    }
    kept = []
    for group in inputs.current.groups:
        run = wanted.get(group.name)
        if run is None or (run.model, run.version) != (group.model, group.version):
            continue
        if all(_is_intact(member, inputs) for member in group.members):
            kept.append(group)
    return kept


def _is_intact(member: table.Member, inputs: Inputs) -> bool:
    found = inputs.seen.get(member.instance)
    if found is None or found.report is None or not is_heard(found, inputs.now):
        return False
    is_live = found.instance.state is instance.State.LIVE
    return is_live and found.report.incarnation == member.incarnation


def _free_instances(inputs: Inputs, kept: list[table.Group]) -> dict[str, list[sighting.Sighting]]:
    """Return the free live instances of each fabric domain."""
    used = {member.instance for group in kept for member in group.members}
    free: dict[str, list[sighting.Sighting]] = {}
    for name in sorted(inputs.seen):
        found = inputs.seen[name]
        if name in used or found.instance.state is not instance.State.LIVE:
            continue
        if found.report is not None and is_heard(found, inputs.now):
            free.setdefault(found.instance.fabric_domain, []).append(found)
    return free


SILENCE_SECONDS = 3.0


def is_heard(found: sighting.Sighting, now: float) -> bool:
    """Whether an instance has answered lately enough to be counted as alive."""
    return now - found.reported_at <= SILENCE_SECONDS


def _take(free: dict[str, list[sighting.Sighting]], count: int) -> list[table.Member]:
    """Take instances of the fullest fabric domain that still fits, or none."""
    fitting = [domain for domain, found in free.items() if len(found) >= count]
    if not fitting:
        return []
    domain = min(fitting, key=lambda one: (len(free[one]), one))
    taken = free[domain][:count]
    del free[domain][:count]
    return [_member(one) for one in taken]


def _member(found: sighting.Sighting) -> table.Member:
    assert found.report is not None
    return table.Member(found.instance.name, found.instance.address, found.report.incarnation)
