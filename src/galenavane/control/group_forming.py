"""Follows groups from the first join until they serve, or are given up."""

from __future__ import annotations

from collections import abc

from galenavane.catalog import engine
from galenavane.control import formation, group_command, steward_state
from galenavane.fleet import group, registry, target

SLACK_SECONDS = 2.0
"""Added to the longest join of a formation before it is given up."""


def begin(
    state: steward_state.Steward,
    known: registry.Registry,
    plan: formation.Plan,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Order a group; members whose weights have to be loaded may have to wait their turn."""
    waits = [
        formation.join_seconds(steward_state.make_free(known, one), plan.model)
        for one in plan.members
    ]
    loads = sum(wait >= plan.model.load_seconds for wait in waits)
    turn = loads * plan.model.load_seconds
    key = steward_state.next_key(state, "group")
    ids = tuple(one.id for one in plan.members)
    made = steward_state.Forming(key, plan.model, ids, now + 2 * max(waits) + turn + SLACK_SECONDS)
    state.forming[key] = made
    return _push(state, known, made, None, constants, now)


def follow(
    state: steward_state.Steward,
    known: registry.Registry,
    found: abc.Mapping[group.Key, group.Group],
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Return the commands for groups on their way, and forget those that serve or failed."""
    commands: list[group_command.Command] = []
    for key, one in list(state.forming.items()):
        seen = found.get(key)
        if seen is not None and seen.state is target.GroupState.OPEN:
            del state.forming[key]
        elif _is_failed(state, known, one, now):
            del state.forming[key]
            state.doomed[key] = now
        else:
            commands += _push(state, known, one, seen, constants, now)
    return commands


def _is_failed(
    state: steward_state.Steward, known: registry.Registry, one: steward_state.Forming, now: float
) -> bool:
    if now >= one.give_up_at:
        return True
    for member in one.members:
        seen = known.targets.get(member)
        if seen is None or seen.is_leaving or member in state.unreachable:
            return True
    return False


def _push(
    state: steward_state.Steward,
    known: registry.Registry,
    one: steward_state.Forming,
    seen: group.Group | None,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Repeat joins without effect, and open a group that is ready."""
    if seen is not None and seen.is_ready and seen.head is not None:
        if steward_state.once(state, "open", seen.head, one.key.epoch, now):
            return [group_command.Open(seen.head, one.key)]
        return []
    commands: list[group_command.Command] = []
    for member in one.members:
        listed = known.targets[member]
        what = ("join", member, one.key.epoch)
        if _has_joined(listed, one.key) or what in state.sent or member in state.unreachable:
            continue
        wait = formation.join_seconds(steward_state.make_free(known, listed), one.model)
        is_load = wait >= one.model.load_seconds
        if is_load and not steward_state.may_load(state, member, constants, now):
            continue
        state.sent[what] = now
        join = group_command.Join(listed, one.key, one.model.name, one.members, is_load)
        commands.append(join)
    return commands


def _has_joined(one: target.Target, key: group.Key) -> bool:
    held = one.membership
    return held is not None and (held.group, held.epoch) == (key.name, key.epoch)
