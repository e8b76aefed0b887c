"""Decides when a draining group has no request in flight any more."""

from __future__ import annotations

from collections import abc

from galenavane.control import instance_status, table

MIN_IDLE_SECONDS = 3.0


class State:
    """Since when each draining group has shown no work.

    :ivar idle_since: monotonic time by epoch.
    """

    __slots__ = ("idle_since",)

    def __init__(self) -> None:
        self.idle_since: dict[int, float] = {}


def update(
    state: State,
    current: table.Table,
    seen: abc.Mapping[str, instance_status.InstanceStatus],
    sends: abc.Mapping[str, int],
    now: float,
) -> frozenset[int]:
    """Return the epochs of draining groups that may be dissolved.

    :param sends: requests that entries have in flight, by group name.
    """
    draining = [group for group in current.groups if group.phase is table.Phase.DRAINING]
    idle = {group.epoch for group in draining if _is_idle(group, seen, sends)}
    state.idle_since = {epoch: state.idle_since.get(epoch, now) for epoch in sorted(idle)}
    return frozenset(
        epoch for epoch, at in state.idle_since.items() if now - at >= MIN_IDLE_SECONDS
    )


def _is_idle(
    group: table.Group,
    seen: abc.Mapping[str, instance_status.InstanceStatus],
    sends: abc.Mapping[str, int],
) -> bool:
    found = seen.get(group.members[0].instance)
    if found is None or found.report is None:
        return True
    answer = found.report
    if (answer.group, answer.epoch) != (group.name, group.epoch):
        return True
    return answer.load.running + answer.load.waiting == 0 and sends.get(group.name, 0) == 0
