"""Follows groups from the first join until they serve, or are given up."""

from __future__ import annotations

from collections import abc

from galenavane.catalog import engine
from galenavane.control import controller_state, formation, group_command
from galenavane.fleet import replica_group, target, target_registry

SLACK_SECONDS = 2.0
"""Added to the longest join of a formation before it is given up."""


def begin(
    state: controller_state.ControllerState,
    known: target_registry.Registry,
    plan: formation.GroupPlan,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Order a group; members whose weights have to be loaded may have to wait their turn."""
    waits = [
        formation.estimate_join_seconds(controller_state.make_candidate(known, one), plan.model)
        for one in plan.members
    ]
    loads = sum(wait >= plan.model.load_seconds for wait in waits)
    turn = loads * plan.model.load_seconds
    key = controller_state.allocate_key(state, "group")
    ids = tuple(one.id for one in plan.members)
    made = controller_state.FormingGroup(
        key, plan.model, ids, now + 2 * max(waits) + turn + SLACK_SECONDS
    )
    state.forming[key] = made
    return _list_commands(state, known, made, None, constants, now)


def advance(
    state: controller_state.ControllerState,
    known: target_registry.Registry,
    found: abc.Mapping[replica_group.Key, replica_group.Group],
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Return the commands for groups on their way, and forget those that serve or failed."""
    commands: list[group_command.Command] = []
    for key, one in list(state.forming.items()):
        seen = found.get(key)
        if seen is not None and seen.state is target.GroupState.OPEN:
            del state.forming[key]
        elif _has_failed(state, known, one, now):
            del state.forming[key]
            state.dissolving[key] = now
        else:
            commands += _list_commands(state, known, one, seen, constants, now)
    return commands


def _has_failed(
    state: controller_state.ControllerState,
    known: target_registry.Registry,
    one: controller_state.FormingGroup,
    now: float,
) -> bool:
    if now >= one.deadline:
        return True
    for member in one.member_ids:
        seen = known.targets.get(member)
        if seen is None or seen.is_leaving or member in state.unreachable_until:
            return True
    return False


def _list_commands(
    state: controller_state.ControllerState,
    known: target_registry.Registry,
    one: controller_state.FormingGroup,
    seen: replica_group.Group | None,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Repeat joins without effect, and open a group that is ready."""
    if seen is not None and seen.is_ready and seen.head is not None:
        if controller_state.try_claim_command(state, "open", seen.head, one.key.epoch, now):
            return [group_command.Open(seen.head, one.key)]
        return []
    commands: list[group_command.Command] = []
    for member in one.member_ids:
        listed = known.targets[member]
        what = ("join", member, one.key.epoch)
        if (
            _has_joined(listed, one.key)
            or what in state.sent_at
            or member in state.unreachable_until
        ):
            continue
        wait = formation.estimate_join_seconds(
            controller_state.make_candidate(known, listed), one.model
        )
        is_load = wait >= one.model.load_seconds
        if is_load and not controller_state.may_load(state, member, constants, now):
            continue
        state.sent_at[what] = now
        join = group_command.Join(listed, one.key, one.model.name, one.member_ids, is_load)
        commands.append(join)
    return commands


def _has_joined(one: target.Target, key: replica_group.Key) -> bool:
    held = one.membership
    return held is not None and (held.group, held.epoch) == (key.name, key.epoch)
