"""Runs a non-idempotent request with an idempotency key at most once."""

from __future__ import annotations

from collections import abc

import msgspec
import trio

from galenavane import invariant
from galenavane.entry import view as views
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.net import message
from galenavane.observe import events
from galenavane.serve import authenticated_request
from galenavane.serve import claim as claims
from galenavane.serve import idempotency_record as records

CLOSE_SECONDS = 45.0
CLOSE_PAUSE_SECONDS = 1.0

Answer = message.Response | failure.Failure
Run = abc.Callable[[], abc.Awaitable[Answer]]
Tell = abc.Callable[[Answer], abc.Awaitable[None]]

_Phase = records.Phase
_PHASES = {
    outcomes.Outcome.NOT_RUN: _Phase.NOT_RUN,
    outcomes.Outcome.FAILED: _Phase.FAILED,
    outcomes.Outcome.UNKNOWN: _Phase.UNKNOWN,
    outcomes.Outcome.ANSWERED: _Phase.UNKNOWN,
}


async def serve(
    view: views.View,
    caller: authenticated_request.AuthenticatedRequest,
    service: str,
    req: message.Request,
    run: Run,
    tell: Tell,
) -> None:
    """Claim the key, run, record the answer and tell it; a repeat is told what is recorded."""
    key = records.make_key(caller.account.name, service, caller.idempotency_key)
    wall = events.wall_seconds()
    wanted = records.Record(
        body_hash=records.hash_request(req.method, req.target, req.body),
        attempt=view.new_id(),
        phase=_Phase.STARTED,
        started_at=wall,
        run_until=wall + caller.deadline - trio.current_time() + records.CLOSE_MARGIN_SECONDS,
    )
    claimed = await claims.claim_key(view.platform, key, wanted)
    if claimed.is_error():
        await tell(claimed.error)
    elif isinstance(claimed.ok, records.Record):
        await tell(_repeat(claimed.ok))
    else:
        await _run_claimed(view, claimed.ok, wanted, run, tell)


async def _run_claimed(
    view: views.View, held: claims.Claim, wanted: records.Record, run: Run, tell: Tell
) -> None:
    invariant.check(
        invariant.Number.AT_MOST_ONCE,
        held.record == wanted,
        "a request is run on a record that has already ended",
    )
    answer = await run()
    ended = _end(held.record, answer)
    is_closed = await claims.record_outcome(view.platform, held, ended)
    try:
        await tell(answer)
    finally:
        if not is_closed:
            await _close_later(view, held, ended)


async def _close_later(view: views.View, held: claims.Claim, ended: records.Record) -> None:
    """Go on writing the record; the connection waits, so a planned stop waits too."""
    with trio.move_on_after(CLOSE_SECONDS):
        while True:
            await trio.sleep(CLOSE_PAUSE_SECONDS)
            if await claims.record_outcome(view.platform, held, ended):
                return
    events.log("record.open", attempt=held.record.attempt, phase=ended.phase.value)


def _repeat(earlier: records.Record) -> Answer:
    if earlier.phase is _Phase.ANSWERED and earlier.is_whole:
        return records.make_response(earlier)
    return claims.make_repeat_failure(earlier, events.wall_seconds())


def _end(started: records.Record, answer: Answer) -> records.Record:
    if isinstance(answer, message.Response):
        return records.make_answered(started, answer)
    return msgspec.structs.replace(started, phase=_PHASES[answer.outcome])
