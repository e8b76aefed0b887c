"""Opens groups that are ready, and ends those with a lost or leaving member."""

from __future__ import annotations

from galenavane.control import controller_state, group_command
from galenavane.fleet import replica_group, target

ADOPT_SECONDS = 1.5
"""How long a group that a former lease holder began to form may stay incomplete."""
ADOPT_LOAD_SECONDS = 20.0
"""The same once all members have joined: some may still load weights, which takes up to 16 s."""
CLOSE_SECONDS = 3.0
"""How long a closing head may take to finish its streams; most last less than 3 s."""


def advance(
    state: controller_state.ControllerState, group: replica_group.Group, now: float
) -> list[group_command.Command]:
    """Return the commands that are due for a listed group."""
    key = group.key
    if key in state.dissolving:
        return _dissolve(state, group, now)
    if controller_state.is_standby(key) or key in state.forming:
        return []
    if group.state is target.GroupState.OPEN and group.is_complete:
        state.served_sizes[key] = len(group.members)
        return _advance_serving(state, group, now)
    if group.state is target.GroupState.OPEN and _is_outdated(state, group):
        state.closing.setdefault(key, now)
        return _advance_serving(state, group, now)
    if group.state is target.GroupState.CLOSING or key in state.closing:
        return _advance_closing(state, group, now)
    if group.is_ready and group.head is not None:
        if controller_state.try_claim_command(state, "open", group.head, key.epoch, now):
            return [group_command.Open(group.head, key)]
        return []
    return _advance_incomplete(state, group, now)


def _advance_serving(
    state: controller_state.ControllerState, group: replica_group.Group, now: float
) -> list[group_command.Command]:
    head = group.head
    if head is None:
        return []
    if not group.has_leaving_member and group.key not in state.closing:
        return []
    state.closing.setdefault(group.key, now)
    if now >= state.closing[group.key] + CLOSE_SECONDS:
        state.dissolving[group.key] = now
        return _dissolve(state, group, now)
    if controller_state.try_claim_command(state, "close", head, group.key.epoch, now):
        return [group_command.Close(head, group.key)]
    return []


def _is_outdated(state: controller_state.ControllerState, group: replica_group.Group) -> bool:
    """Whether a group has all members of its model as it was before the configuration changed it.

    Its streams still run, so it is closed first.
    """
    return not group.is_complete and state.served_sizes.get(group.key) == len(group.members)


def _advance_closing(
    state: controller_state.ControllerState, group: replica_group.Group, now: float
) -> list[group_command.Command]:
    since = state.closing.setdefault(group.key, now)
    is_closed = group.state not in (target.GroupState.CLOSING, target.GroupState.OPEN)
    is_whole = group.is_complete or _is_outdated(state, group)
    if is_closed or not is_whole or now >= since + CLOSE_SECONDS:
        state.dissolving[group.key] = now
        return _dissolve(state, group, now)
    return []


def _advance_incomplete(
    state: controller_state.ControllerState, group: replica_group.Group, now: float
) -> list[group_command.Command]:
    """Dissolve a group that lost a member, or that a former holder didn't complete in time."""
    is_begun = group.state in (target.GroupState.JOINING, target.GroupState.READY, None)
    since = state.incomplete_since.setdefault(group.key, now)
    limit = ADOPT_LOAD_SECONDS if group.has_all_ranks else ADOPT_SECONDS
    if is_begun and now < since + limit:
        return []
    state.dissolving[group.key] = now
    return _dissolve(state, group, now)


def _dissolve(
    state: controller_state.ControllerState, group: replica_group.Group, now: float
) -> list[group_command.Command]:
    return [
        group_command.Leave(member, group.key)
        for member in group.members
        if controller_state.try_claim_command(state, "leave", member, group.key.epoch, now)
    ]
