"""Decides when a draining group has no requests in flight any more."""

from __future__ import annotations

from collections import abc

from galenavane.control import instance_status, table

MIN_IDLE_SECONDS = 3.0


class State:
    """Since when each draining group has been idle.

    :ivar idle_since: monotonic time in seconds by the group's epoch.
    """

    __slots__ = ("idle_since",)

    def __init__(self) -> None:
        self.idle_since: dict[int, float] = {}


def update(
    state: State,
    current: table.Table,
    statuses: abc.Mapping[str, instance_status.InstanceStatus],
    in_flight: abc.Mapping[str, int],
    now: float,
) -> frozenset[int]:
    """Return the epochs of draining groups that may be dissolved.

    :param in_flight: requests that entries have in flight, by group name.
    """
    draining = [group for group in current.groups if group.phase is table.Phase.DRAINING]
    idle_epochs = {group.epoch for group in draining if _is_idle(group, statuses, in_flight)}
    state.idle_since = {epoch: state.idle_since.get(epoch, now) for epoch in sorted(idle_epochs)}
    return frozenset(
        epoch for epoch, since in state.idle_since.items() if now - since >= MIN_IDLE_SECONDS
    )


def _is_idle(
    group: table.Group,
    statuses: abc.Mapping[str, instance_status.InstanceStatus],
    in_flight: abc.Mapping[str, int],
) -> bool:
    status = statuses.get(group.members[0].instance)
    if status is None or status.report is None:
        return True
    report = status.report
    if (report.group, report.epoch) != (group.name, group.epoch):
        return True
    return report.load.running + report.load.waiting == 0 and in_flight.get(group.name, 0) == 0
