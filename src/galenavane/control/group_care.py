"""Opens groups that are ready, and ends those that lost a member or have one that leaves."""

from __future__ import annotations

from galenavane.control import group_command, steward_state
from galenavane.fleet import group, target

ADOPT_SECONDS = 1.5
"""How long a group that a former holder began to form may stay incomplete."""
ADOPT_LOAD_SECONDS = 20.0
"""The same when all members have joined and some still load, which takes up to 16 s."""
CLOSE_SECONDS = 3.0
"""How long a closing head may finish its streams; most last under 3 s."""


def tend(
    state: steward_state.Steward, found: group.Group, now: float
) -> list[group_command.Command]:
    """Look after one group that its members report."""
    key = found.key
    if key in state.doomed:
        return _dissolve(state, found, now)
    if steward_state.is_standby(key) or key in state.forming:
        return []
    if found.state is target.GroupState.OPEN and found.is_whole:
        return _tend_serving(state, found, now)
    if found.state is target.GroupState.CLOSING or key in state.closing:
        return _tend_closing(state, found, now)
    if found.is_ready and found.head is not None:
        if steward_state.once(state, "open", found.head, key.epoch, now):
            return [group_command.Open(found.head, key)]
        return []
    return _tend_incomplete(state, found, now)


def _tend_serving(
    state: steward_state.Steward, found: group.Group, now: float
) -> list[group_command.Command]:
    head = found.head
    if head is None:
        return []
    if not found.has_leaving and found.key not in state.closing:
        return []
    state.closing.setdefault(found.key, now)
    if now >= state.closing[found.key] + CLOSE_SECONDS:
        state.doomed[found.key] = now
        return _dissolve(state, found, now)
    if steward_state.once(state, "close", head, found.key.epoch, now):
        return [group_command.Close(head, found.key)]
    return []


def _tend_closing(
    state: steward_state.Steward, found: group.Group, now: float
) -> list[group_command.Command]:
    since = state.closing.setdefault(found.key, now)
    is_closed = found.state not in (target.GroupState.CLOSING, target.GroupState.OPEN)
    if is_closed or not found.is_whole or now >= since + CLOSE_SECONDS:
        state.doomed[found.key] = now
        return _dissolve(state, found, now)
    return []


def _tend_incomplete(
    state: steward_state.Steward, found: group.Group, now: float
) -> list[group_command.Command]:
    """Dissolve a group that lost a member, or that a former holder did not complete."""
    is_begun = found.state in (target.GroupState.JOINING, target.GroupState.READY, None)
    since = state.first_seen.setdefault(found.key, now)
    limit = ADOPT_LOAD_SECONDS if found.has_all_ranks else ADOPT_SECONDS
    if is_begun and now < since + limit:
        return []
    state.doomed[found.key] = now
    return _dissolve(state, found, now)


def _dissolve(
    state: steward_state.Steward, found: group.Group, now: float
) -> list[group_command.Command]:
    return [
        group_command.Leave(one, found.key)
        for one in found.members
        if steward_state.once(state, "leave", one, found.key.epoch, now)
    ]
