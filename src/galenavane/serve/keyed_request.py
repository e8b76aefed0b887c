"""Executes non-idempotent requests with an idempotency key at most once."""

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

RECORD_RETRY_SECONDS = 45.0
RECORD_RETRY_PAUSE_SECONDS = 1.0

Result = message.Response | failure.Failure
Execute = abc.Callable[[], abc.Awaitable[Result]]
Respond = abc.Callable[[Result], abc.Awaitable[None]]

_Phase = records.Phase
_PHASE_BY_OUTCOME = {
    outcomes.Outcome.NOT_RUN: _Phase.NOT_RUN,
    outcomes.Outcome.FAILED: _Phase.FAILED,
    outcomes.Outcome.UNKNOWN: _Phase.UNKNOWN,
    outcomes.Outcome.ANSWERED: _Phase.UNKNOWN,
}


async def serve(
    view: views.View,
    auth_req: authenticated_request.AuthenticatedRequest,
    service: str,
    req: message.Request,
    execute: Execute,
    respond: Respond,
) -> None:
    """Claim the key, execute the request, record its result and respond.

    A repeated request gets the recorded result instead of being executed.

    :param service: name of the service, part of the record's key.
    :param execute: sends the request to targets and returns the result.
    :param respond: sends a result to the caller.
    """
    record_key = records.make_key(auth_req.account.name, service, auth_req.idempotency_key)
    wall_seconds = events.wall_seconds()
    new_record = records.Record(
        body_hash=records.hash_request(req.method, req.target, req.body),
        attempt=view.new_id(),
        phase=_Phase.STARTED,
        started_at=wall_seconds,
        run_until=wall_seconds
        + auth_req.deadline
        - trio.current_time()
        + records.RECORD_MARGIN_SECONDS,
    )
    claim_result = await claims.claim_key(view.platform, record_key, new_record)
    if claim_result.is_error():
        await respond(claim_result.error)
    elif isinstance(claim_result.ok, records.Record):
        await respond(_answer_repeat(claim_result.ok))
    else:
        await _execute_claimed(view, claim_result.ok, new_record, execute, respond)


async def _execute_claimed(
    view: views.View,
    claim: claims.Claim,
    new_record: records.Record,
    execute: Execute,
    respond: Respond,
) -> None:
    invariant.check(
        invariant.Number.AT_MOST_ONCE,
        claim.record == new_record,
        "a request is executed with a record that is already final",
    )
    result = await execute()
    final_record = _make_final_record(claim.record, result)
    is_recorded = await claims.record_outcome(view.platform, claim, final_record)
    try:
        await respond(result)
    finally:
        if not is_recorded:
            await _retry_recording(view, claim, final_record)


async def _retry_recording(
    view: views.View, claim: claims.Claim, final_record: records.Record
) -> None:
    """Retry writing the final record.

    The caller's connection stays open meanwhile, so that a planned stop waits for it.
    """
    with trio.move_on_after(RECORD_RETRY_SECONDS):
        while True:
            await trio.sleep(RECORD_RETRY_PAUSE_SECONDS)
            if await claims.record_outcome(view.platform, claim, final_record):
                return
    events.log("record.open", attempt=claim.record.attempt, phase=final_record.phase.value)


def _answer_repeat(earlier: records.Record) -> Result:
    if earlier.phase is _Phase.ANSWERED and earlier.is_whole:
        return records.make_response(earlier)
    return claims.make_repeat_failure(earlier, events.wall_seconds())


def _make_final_record(started: records.Record, result: Result) -> records.Record:
    if isinstance(result, message.Response):
        return records.make_answered(started, result)
    return msgspec.structs.replace(started, phase=_PHASE_BY_OUTCOME[result.outcome])
