"""Decides from target reports which groups are complete."""

from __future__ import annotations

from collections import abc

from galenavane.control import instance_status, table

MAX_REPORT_AGE_SECONDS = 2.0


def is_complete(
    group: table.Group, statuses: abc.Mapping[str, instance_status.InstanceStatus], now: float
) -> bool:
    """Whether every member's recent report confirms the group, the epoch and its incarnation.

    The leader must also report that it hears every member, since it refuses requests until then.
    """
    if not all(is_confirmed(group, member, statuses, now) for member in group.members):
        return False
    leader = statuses[group.members[0].instance].report
    return leader is not None and leader.complete


def is_confirmed(
    group: table.Group,
    member: table.Member,
    statuses: abc.Mapping[str, instance_status.InstanceStatus],
    now: float,
) -> bool:
    """Whether a member's recent report confirms that it is ready in this group."""
    status = statuses.get(member.instance)
    if status is None or status.report is None or now - status.reported_at > MAX_REPORT_AGE_SECONDS:
        return False
    report = status.report
    return (report.group, report.epoch, report.incarnation, report.ready) == (
        group.name,
        group.epoch,
        member.incarnation,
        True,
    )
