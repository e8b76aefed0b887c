"""Sorts the current groups by what is to become of them."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.control import completeness, condition, sighting, table, want


@dataclasses.dataclass(slots=True)
class Groups:
    """The current groups, without those that have lost a member.

    :ivar kept: groups as the preset wants them.
    :ivar outdated: groups that serve until their successors do.
    :ivar going: groups to drain and then to dissolve.
    """

    kept: list[table.Group] = dataclasses.field(default_factory=list)
    outdated: list[table.Group] = dataclasses.field(default_factory=list)
    going: list[table.Group] = dataclasses.field(default_factory=list)

    def kept_of(self, wanted: want.Want) -> list[table.Group]:
        """Return the kept groups of a want."""
        return [group for group in self.kept if group.service == wanted.service]

    def outdated_of(self, wanted: want.Want) -> list[table.Group]:
        """Return the outdated groups of a want's service."""
        return [group for group in self.outdated if group.service == wanted.service]


def sort(
    current: table.Table,
    wants: list[want.Want],
    seen: abc.Mapping[str, sighting.Sighting],
    now: float,
) -> Groups:
    """Sort the groups of a table."""
    found = Groups()
    by_service = {one.service: one for one in wants}
    matching: dict[str, list[table.Group]] = {one.service: [] for one in wants}
    old: dict[str, list[table.Group]] = {one.service: [] for one in wants}
    for group in sorted(current.groups, key=_order):
        is_at = condition.judge(group, seen, now)
        if is_at is condition.Condition.LOST:
            continue
        wanted = by_service.get(group.service)
        if wanted is None or is_at is condition.Condition.LEAVING:
            found.going.append(group)
        elif wanted.matches(group):
            matching[group.service].append(group)
        else:
            old[group.service].append(group)
    for wanted in wants:
        _divide(found, wanted, matching[wanted.service], old[wanted.service], seen, now)
    return found


def _divide(
    found: Groups,
    wanted: want.Want,
    matching: list[table.Group],
    old: list[table.Group],
    seen: abc.Mapping[str, sighting.Sighting],
    now: float,
) -> None:
    """Keep what is wanted; an old group goes when a new one serves in its place."""
    kept = matching[: wanted.count]
    found.kept += kept
    found.going += matching[wanted.count :]
    serving = sum(1 for group in kept if completeness.is_complete(group, seen, now))
    active = [group for group in old if group.phase is table.Phase.ACTIVE]
    stays = max(0, wanted.count - serving)
    found.outdated += active[:stays]
    found.going += active[stays:]
    found.going += [group for group in old if group.phase is table.Phase.DRAINING]


def _order(group: table.Group) -> tuple[bool, str, int]:
    return group.phase is table.Phase.DRAINING, group.service, table.number_of(group)
