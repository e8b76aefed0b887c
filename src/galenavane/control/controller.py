"""Decides the commands that keep complete groups serving.

It works from what targets report in the platform's list alone, so a new lease holder can continue
without any state from its predecessor. Commands may be carried out late or twice: every command
except a join names the one formation that it applies to, and a join is conditional unless the
target's own answers show that it is free (``join_history``).
"""

from __future__ import annotations

from collections import abc

from galenavane.catalog import engine
from galenavane.control import (
    controller_state,
    demand,
    domain_control,
    formation_progress,
    group_command,
    group_lifecycle,
)
from galenavane.fleet import group_index, replica_group, target, target_registry

UNREACHABLE_SECONDS = 4.5
"""The platform's list drops a silent target after three heartbeats of 1.2 s, so one that is still
listed after this time has come back."""


def report_stalled_group(
    state: controller_state.ControllerState,
    key: replica_group.Key,
    missing: abc.Iterable[str],
    now: float,
) -> None:
    """Record that a group has stalled, and mark the members that did not answer.

    :param missing: ids of these members.
    """
    for target_id in missing:
        state.unreachable_until[target_id] = now + UNREACHABLE_SECONDS
    state.dissolving.setdefault(key, now)
    state.forming.pop(key, None)


def report_unreachable(state: controller_state.ControllerState, target_id: str, now: float) -> None:
    """Record that no connection to a target could be opened."""
    state.unreachable_until[target_id] = now + UNREACHABLE_SECONDS


def report_reachable(state: controller_state.ControllerState, target_id: str) -> bool:
    """Record that a target answers; return whether it counted as unreachable."""
    return state.unreachable_until.pop(target_id, None) is not None


def record_load(
    state: controller_state.ControllerState,
    in_flight: abc.Mapping[str, float],
    constants: engine.Engine,
    now: float,
) -> None:
    """Record the requests in flight at the heads of each model.

    :param in_flight: number of requests by model name.
    """
    demand.record_load(state.demand, in_flight, constants, now)


def decide(
    state: controller_state.ControllerState,
    registry: target_registry.Registry,
    service: str,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Return the commands to send now for one service."""
    _drop_expired(state, now)
    controller_state.prune_join_histories(state, registry)
    _update_loading(state, registry, service)
    groups_by_key = group_index.find_groups(registry.index, service, constants)
    commands: list[group_command.Command] = []
    for key in sorted(groups_by_key):
        commands += group_lifecycle.advance(state, groups_by_key[key], now)
    commands = [command for command in commands if command.target.id in registry.targets]
    commands += formation_progress.advance(state, registry, groups_by_key, constants, now)
    commands += domain_control.form_groups(state, registry, groups_by_key, service, constants, now)
    commands += domain_control.stage_weights(
        state, registry, groups_by_key, service, constants, now
    )
    _drop_ended_groups(state, groups_by_key)
    return commands


def _drop_expired(state: controller_state.ControllerState, now: float) -> None:
    state.unreachable_until = {
        target_id: until for target_id, until in state.unreachable_until.items() if until > now
    }
    state.sent_at = {
        command_key: at
        for command_key, at in state.sent_at.items()
        if now < at + controller_state.REPEAT_SECONDS
    }


def _update_loading(
    state: controller_state.ControllerState, registry: target_registry.Registry, service: str
) -> None:
    """Update which targets load weights; loads of a former holder show up as joining targets."""
    joining = {
        listed.id
        for listed in registry.targets.values()
        if listed.service == service
        and listed.membership is not None
        and listed.membership.state is target.GroupState.JOINING
    }
    waiting = {target_id for kind, target_id, _ in state.sent_at if kind in ("join", "standby")}
    if state.loading is None:
        if not registry.targets:
            # The list has not arrived yet; the fleet may already be serving.
            return
        state.loading = joining
        state.is_cold_start = all(listed.membership is None for listed in registry.targets.values())
    state.loading &= joining | waiting


def _drop_ended_groups(
    state: controller_state.ControllerState,
    groups_by_key: abc.Mapping[replica_group.Key, replica_group.Group],
) -> None:
    for times_by_key in (
        state.dissolving,
        state.closing,
        state.incomplete_since,
        state.served_sizes,
    ):
        for key in [known_key for known_key in times_by_key if known_key not in groups_by_key]:
            del times_by_key[key]
