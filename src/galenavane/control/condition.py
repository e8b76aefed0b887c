"""Assesses the condition of group members from their reports and the platform's list."""

from __future__ import annotations

import enum
from collections import abc

from galenavane.control import instance_status, table
from galenavane.store import instance

MAX_SILENCE_SECONDS = 3.0
MIN_RESPONSIVE_SHARE = 1 / 3


class Condition(enum.IntEnum):
    """Condition of a member or group; a higher value is worse."""

    INTACT = 0
    LEAVING = 1
    LOST = 2


def assess_group(
    group: table.Group, statuses: abc.Mapping[str, instance_status.InstanceStatus], now: float
) -> Condition:
    """Return the condition of a group's worst member."""
    return max(assess_member(member, statuses, now) for member in group.members)


def assess_member(
    member: table.Member, statuses: abc.Mapping[str, instance_status.InstanceStatus], now: float
) -> Condition:
    """Return the condition of one member; one that restarted (new incarnation) is lost."""
    status = statuses.get(member.instance)
    if status is None or status.report is None or not is_responsive(status, now):
        return Condition.LOST
    if status.report.incarnation != member.incarnation:
        return Condition.LOST
    is_live = status.instance.state is instance.State.LIVE
    return Condition.INTACT if is_live else Condition.LEAVING


def is_responsive(status: instance_status.InstanceStatus, now: float) -> bool:
    """Whether an instance answered recently enough to count as alive."""
    return now - status.reported_at <= MAX_SILENCE_SECONDS


def is_available(status: instance_status.InstanceStatus, now: float) -> bool:
    """Whether an instance without a group may be assigned to one."""
    is_live = status.instance.state is instance.State.LIVE
    return is_live and status.report is not None and is_responsive(status, now)


def is_partitioned(
    current: table.Table, statuses: abc.Mapping[str, instance_status.InstanceStatus], now: float
) -> bool:
    """Whether so few members respond that this entry itself is probably cut off from them."""
    members = [member.instance for group in current.groups for member in group.members]
    responsive_count = sum(
        1 for name in members if name in statuses and is_responsive(statuses[name], now)
    )
    return responsive_count < len(members) * MIN_RESPONSIVE_SHARE
