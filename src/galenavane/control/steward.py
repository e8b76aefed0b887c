"""Decides what targets are told, so that whole groups serve.

All that it needs is what targets say in the platform's list, so a successor can go on from
nothing. A late or repeated command is harmless: epochs grow with the lease's number, and every
command but a join names the one formation that it is for.
"""

from __future__ import annotations

from collections import abc

from galenavane.catalog import engine
from galenavane.control import (
    demand,
    domain_care,
    group_care,
    group_command,
    group_forming,
    steward_state,
)
from galenavane.fleet import group, registry, target

UNREACHABLE_SECONDS = 4.5
"""The list drops a silent target after three heartbeats of 1.2 s; one still listed is back."""


def report_stall(
    state: steward_state.Steward, key: group.Key, missing: abc.Iterable[str], now: float
) -> None:
    """Take in that a group stands still, and which of its members did not answer."""
    for one in missing:
        state.unreachable[one] = now + UNREACHABLE_SECONDS
    state.doomed.setdefault(key, now)
    state.forming.pop(key, None)


def report_missing(state: steward_state.Steward, target_id: str, now: float) -> None:
    """Take in that no connection to a target could be opened."""
    state.unreachable[target_id] = now + UNREACHABLE_SECONDS


def note_load(
    state: steward_state.Steward,
    in_flight: abc.Mapping[str, float],
    constants: engine.Engine,
    now: float,
) -> None:
    """Take in the requests under way at the heads of each model."""
    demand.note(state.demand, in_flight, constants, now)


def decide(
    state: steward_state.Steward,
    known: registry.Registry,
    service: str,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Return the commands to give now for one service."""
    _forget(state, now)
    _follow_loads(state, known)
    found = group.assemble(registry.members(known), constants, service)
    commands: list[group_command.Command] = []
    for key in sorted(found):
        commands += group_care.tend(state, found[key], now)
    commands = [one for one in commands if one.target.id in known.targets]
    commands += group_forming.follow(state, known, found, constants, now)
    commands += domain_care.form(state, known, found, service, constants, now)
    commands += domain_care.stage(state, known, found, service, constants, now)
    _drop_finished(state, found)
    return commands


def _forget(state: steward_state.Steward, now: float) -> None:
    state.unreachable = {one: at for one, at in state.unreachable.items() if at > now}
    state.sent = {
        what: at for what, at in state.sent.items() if now < at + steward_state.REPEAT_SECONDS
    }


def _follow_loads(state: steward_state.Steward, known: registry.Registry) -> None:
    """Keep which targets load; those of a former holder are seen joining."""
    joining = {
        one.id
        for one in known.targets.values()
        if one.membership is not None and one.membership.state is target.GroupState.JOINING
    }
    waiting = {one for what, one, _ in state.sent if what in ("join", "standby")}
    if state.loading is None:
        if not known.targets:
            # The list is not there yet; the fleet may have been serving for long.
            return
        state.loading = joining
        state.is_first = all(one.membership is None for one in known.targets.values())
    state.loading &= joining | waiting


def _drop_finished(
    state: steward_state.Steward, found: abc.Mapping[group.Key, group.Group]
) -> None:
    for kept in (state.doomed, state.closing, state.first_seen):
        for key in [one for one in kept if one not in found]:
            del kept[key]
