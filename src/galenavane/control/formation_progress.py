"""Commands new groups from the first join until they serve or are given up."""

from __future__ import annotations

from collections import abc

from galenavane.catalog import engine
from galenavane.control import controller_state, formation, group_command
from galenavane.fleet import replica_group, target, target_registry

SLACK_SECONDS = 2.0
"""Added to the time that a formation needs before it is given up."""


def begin(
    state: controller_state.ControllerState,
    registry: target_registry.Registry,
    plan: formation.GroupPlan,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Start to form a group; its deadline allows for members that queue for a weight load."""
    join_seconds = [
        formation.estimate_join_seconds(
            controller_state.make_candidate(registry, member), plan.model
        )
        for member in plan.members
    ]
    loads = sum(seconds >= plan.model.load_seconds for seconds in join_seconds)
    load_queue_seconds = loads * plan.model.load_seconds
    key = controller_state.allocate_key(state, "group")
    ids = tuple(member.id for member in plan.members)
    forming_group = controller_state.FormingGroup(
        key, plan.model, ids, now + 2 * max(join_seconds) + load_queue_seconds + SLACK_SECONDS
    )
    state.forming[key] = forming_group
    return _list_commands(state, registry, forming_group, None, constants, now)


def advance(
    state: controller_state.ControllerState,
    registry: target_registry.Registry,
    groups_by_key: abc.Mapping[replica_group.Key, replica_group.Group],
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Return the commands for groups being formed, and drop those that serve or have failed."""
    commands: list[group_command.Command] = []
    for key, forming_group in list(state.forming.items()):
        listed_group = groups_by_key.get(key)
        for member in listed_group.members if listed_group is not None else ():
            controller_state.record_listed_join(state, member)
        if listed_group is not None and listed_group.state is target.GroupState.OPEN:
            del state.forming[key]
        elif _has_failed(state, registry, forming_group, now):
            del state.forming[key]
            state.dissolving[key] = now
        else:
            commands += _list_commands(state, registry, forming_group, listed_group, constants, now)
    return commands


def _has_failed(
    state: controller_state.ControllerState,
    registry: target_registry.Registry,
    forming_group: controller_state.FormingGroup,
    now: float,
) -> bool:
    if now >= forming_group.deadline:
        return True
    for member in forming_group.member_ids:
        listed = registry.targets.get(member)
        if listed is None or listed.is_leaving or member in state.unreachable_until:
            return True
        if not _has_joined(listed, forming_group.key) and not controller_state.is_unattached(
            listed
        ):
            # It carried out an older join, whose group may be opened.
            return True
    return False


def _list_commands(
    state: controller_state.ControllerState,
    registry: target_registry.Registry,
    forming_group: controller_state.FormingGroup,
    listed_group: replica_group.Group | None,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Return joins that are due or had no effect, or the open command once all are ready."""
    if listed_group is not None and listed_group.is_ready and listed_group.head is not None:
        if controller_state.try_claim_command(
            state, "open", listed_group.head, forming_group.key.epoch, now
        ):
            return [group_command.Open(listed_group.head, forming_group.key)]
        return []
    commands: list[group_command.Command] = []
    for member in forming_group.member_ids:
        listed = registry.targets[member]
        command_key = ("join", member, forming_group.key.epoch)
        if (
            _has_joined(listed, forming_group.key)
            or command_key in state.sent_at
            or member in state.unreachable_until
        ):
            continue
        join_seconds = formation.estimate_join_seconds(
            controller_state.make_candidate(registry, listed), forming_group.model
        )
        needs_load = join_seconds >= forming_group.model.load_seconds
        if needs_load and not controller_state.may_load(state, member, constants, now):
            continue
        state.sent_at[command_key] = now
        join = controller_state.make_join(
            state,
            listed,
            forming_group.key,
            forming_group.model,
            forming_group.member_ids,
            needs_load,
        )
        commands.append(join)
    return commands


def _has_joined(listed: target.Target, key: replica_group.Key) -> bool:
    membership = listed.membership
    return membership is not None and (membership.group, membership.epoch) == (key.name, key.epoch)
