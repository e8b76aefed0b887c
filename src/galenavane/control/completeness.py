"""Decides from reports which groups are complete."""

from __future__ import annotations

from collections import abc

from galenavane.control import instance_status, table

PROOF_SECONDS = 2.0


def is_complete(
    group: table.Group, seen: abc.Mapping[str, instance_status.InstanceStatus], now: float
) -> bool:
    """Whether every member has lately confirmed the group, the epoch and its incarnation.

    The leader has to say too that it hears every member, since it refuses requests until then.
    """
    if not all(is_confirmed(group, member, seen, now) for member in group.members):
        return False
    leader = seen[group.members[0].instance].report
    return leader is not None and leader.complete


def is_confirmed(
    group: table.Group,
    member: table.Member,
    seen: abc.Mapping[str, instance_status.InstanceStatus],
    now: float,
) -> bool:
    """Whether one member has lately confirmed its place."""
    found = seen.get(member.instance)
    if found is None or found.report is None or now - found.reported_at > PROOF_SECONDS:
        return False
    answer = found.report
    return (answer.group, answer.epoch, answer.incarnation, answer.ready) == (
        group.name,
        group.epoch,
        member.incarnation,
        True,
    )
