"""Asks admission and picking for a group, and tells them how the request went."""

from __future__ import annotations

import dataclasses

import expression
import trio

from galenavane.control import completeness, table
from galenavane.entry import view as views
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.route import candidate as candidates
from galenavane.route import grant as grants
from galenavane.route import pick

RETRY_PAUSE_SECONDS = 0.2
RETRY_AFTER_SECONDS = 1.0


async def acquire(
    view: views.View, ask: grants.Ask, tried: set[str]
) -> expression.Result[grants.Grant, failure.Failure]:
    """Wait for a group that may get the request; refuse when none can be had in time."""
    while trio.current_time() < ask.deadline:
        chosen = pick.pick(_candidates(view, ask, tried), ask.prompt_tokens, view.rng)
        if chosen is not None:
            return expression.Ok(grants.Grant(ask, chosen, trio.current_time()))
        tried.clear()
        await trio.sleep(RETRY_PAUSE_SECONDS)
    text = f'no complete group serves "{ask.model}"'
    return expression.Error(
        failure.Failure(codes.Code.NO_GROUP, text, retry_after_seconds=RETRY_AFTER_SECONDS)
    )


def release(view: views.View, held: grants.Grant, ended: grants.Ended) -> None:
    """Tell that a granted request has ended, so that its place is free."""


def _candidates(view: views.View, ask: grants.Ask, tried: set[str]) -> list[candidates.Candidate]:
    now = trio.current_time()
    seen = view.seen.value
    return [
        _candidate(view, group, ask)
        for one in view.tables.value.values()
        for group in one.groups
        if group.service == ask.service
        and (group.model, group.version) == (ask.model, ask.version)
        and group.phase is table.Phase.ACTIVE
        and group.name not in tried
        and completeness.is_complete(group, seen, now)
    ]


def _candidate(view: views.View, group: table.Group, ask: grants.Ask) -> candidates.Candidate:
    leader = group.members[0]
    answer = view.seen.value[leader.instance].report
    assert answer is not None
    has_adapter = not ask.adapter or ask.adapter in answer.adapters
    found = candidates.Candidate(group.name, leader.address, group.epoch, answer.load)
    return dataclasses.replace(found, has_adapter=has_adapter)
