"""Gets one answer from replica groups, each going on where the last stopped."""

from __future__ import annotations

import dataclasses
import functools

import msgspec
import trio

from galenavane.config import settings
from galenavane.entry import view as views
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.net import address as addresses
from galenavane.net import (
    disconnect,
    http_connection,
    message,
    relay,
    round_trip,
    stream_filter,
    transport_error,
)
from galenavane.net import headers as header_lists
from galenavane.observe import events
from galenavane.route import candidate as candidates
from galenavane.route import grant as grants
from galenavane.serve import (
    authenticated_request,
    classify,
    completion_body,
    completion_filter,
    dispatch,
    execution_tracker,
    stream_state,
)

CONNECT_SECONDS = 1.0
CANCEL_SECONDS = 1.0
WRITE_SECONDS = 20.0
MAX_TRIES = 5
TRIES_PER_GRANT = 2
RETRY_PAUSE_SECONDS = 0.25
RETRY_AFTER_SECONDS = 1.0
MAX_CANCEL_ANSWER_BYTES = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class ModelStream:
    """One completion request on its way.

    :ivar head: header fields of the caller's streamed answer.
    """

    caller: authenticated_request.AuthenticatedRequest
    body: completion_body.CompletionBody
    state: stream_state.StreamState
    ask: grants.RoutingRequest
    head: header_lists.Headers
    attempts: execution_tracker.ExecutionTracker = dataclasses.field(
        default_factory=functools.partial(execution_tracker.ExecutionTracker, True)
    )


async def run(view: views.View, stream: ModelStream) -> failure.Failure | None:
    """Deliver the whole answer; return why that failed, if it did.

    :raises DisconnectError: when the caller is gone.
    """
    state = stream.state
    told: failure.Failure | None = None
    while state.try_count < MAX_TRIES:
        held = await disconnect.cancel_on_disconnect(
            stream.caller.exchange.conn, dispatch.acquire, view, stream.ask, state.failed_groups
        )
        if held.is_error():
            told = classify.choose_worse(told, held.error)
            break
        failed = await _run_granted(view, stream, held.ok)
        if failed is None:
            return None
        told = classify.choose_worse(told, failed)
        if failed.code is codes.Code.BAD_REQUEST:
            break
        events.log("request.retry", request=stream.caller.request_id, group=held.ok.candidate.name)
        state.failed_groups.add(held.ok.candidate.name)
        if failed.outcome is outcomes.Outcome.NOT_RUN:
            # A group that refuses is forming or leaving; asked again at once it refuses again.
            await disconnect.cancel_on_disconnect(
                stream.caller.exchange.conn, trio.sleep, RETRY_PAUSE_SECONDS
            )
    assert told is not None
    stream.attempts.check_outcome(told.outcome)
    return msgspec.structs.replace(
        told, retry_after_seconds=told.retry_after_seconds or RETRY_AFTER_SECONDS
    )


async def _run_granted(
    view: views.View, stream: ModelStream, held: grants.Grant
) -> failure.Failure | None:
    """Try a group; a connection that went silent or broke gets one new connection."""
    state = stream.state
    before = state.delivered_tokens
    sent_before = stream.attempts.possible_executions
    failed: failure.Failure | None = None
    told: failure.Failure | None = None
    is_whole = False
    try:
        for number in range(TRIES_PER_GRANT):
            failed = await _try(view, stream, held.candidate, number)
            if failed is None:
                break
            told = classify.choose_worse(told, failed)
            if failed.outcome is not outcomes.Outcome.UNKNOWN:
                break
        is_whole = failed is None
        return None if is_whole else told
    finally:
        first = state.first_token_at - held.sent_at if state.delivered_tokens > before else None
        _measure(view, state, first, before)
        ended = grants.AttemptResult(first, state.delivered_tokens - before, failed is not None)
        dispatch.release(view, held, ended)
        if not is_whole and stream.attempts.possible_executions > sent_before:
            await _cancel(view, stream, held.candidate)


def _is_proved(view: views.View, chosen: candidates.Candidate) -> bool:
    """Whether the group is still known to be complete in the same epoch."""
    known = view.router.groups.by_name.get(chosen.name)
    if known is None or known.report.epoch != chosen.epoch:
        return False
    return trio.current_time() <= known.report.complete_until


def _measure(
    view: views.View, state: stream_state.StreamState, first: float | None, before: int
) -> None:
    if state.try_count > 1:
        view.metrics.retries.inc({})
    if first is None:
        return
    view.metrics.first_token.observe({}, first)
    tokens = state.delivered_tokens - before
    if tokens > 1:
        passed = trio.current_time() - state.first_token_at
        view.metrics.between_tokens.observe({}, passed / (tokens - 1))


async def _cancel(view: views.View, stream: ModelStream, chosen: candidates.Candidate) -> None:
    """Tell the engine that nobody waits for the answer; the connection may be silent."""
    req = message.Request("POST", f"/v1/cancel/{stream.state.request_id}")
    where = addresses.parse(chosen.address)
    with trio.move_on_after(CANCEL_SECONDS, shield=True):
        try:
            await round_trip.send(view.net, where, req, CANCEL_SECONDS, MAX_CANCEL_ANSWER_BYTES)
        except transport_error.TransportError as exc:
            events.log("request.cancel_lost", request=stream.caller.request_id, text=str(exc))


async def _try(
    view: views.View, stream: ModelStream, chosen: candidates.Candidate, number: int
) -> failure.Failure | None:
    """Get the rest of the answer over one new connection."""
    state = stream.state
    state.begin_try()
    stream.attempts.begin_try()
    try:
        conn = await view.net.dial(addresses.parse(chosen.address), CONNECT_SECONDS)
    except transport_error.TransportError as exc:
        stream.attempts.end_try(False, False)
        return classify.classify_error(exc)
    is_refused = False
    try:
        found = await _exchange(view, stream, chosen, conn, number)
        is_refused = found is not None and found.outcome is outcomes.Outcome.NOT_RUN
        return found
    except transport_error.TransportError as exc:
        return classify.classify_error(exc)
    finally:
        stream.attempts.end_try(conn.has_sent_bytes, is_refused)
        await conn.close()


async def _exchange(
    view: views.View,
    stream: ModelStream,
    chosen: candidates.Candidate,
    conn: http_connection.HttpConnection,
    number: int,
) -> failure.Failure | None:
    sink = stream.caller.exchange.conn
    deadlines = _deadlines(view, number)
    if not _is_proved(view, chosen):
        # The proof may lapse while the connection is opened.
        text = f'group "{chosen.name}" is no longer known to be complete'
        return failure.Failure(codes.Code.NO_GROUP, text, outcomes.Outcome.NOT_RUN)
    events.log(
        "request.send",
        request=stream.caller.request_id,
        group=chosen.name,
        epoch=chosen.epoch,
        offset=stream.state.delivered_tokens,
    )
    await conn.send_request(_target_request(stream, chosen), chosen.address)
    head = await disconnect.cancel_on_disconnect(sink, _read_head, conn, deadlines.first_seconds)
    found = classify.classify_response(head)
    if found is not None:
        return found
    if head.status != 200:
        text = f"the engine refused the request with status {head.status}"
        return failure.Failure(codes.Code.BAD_REQUEST, text, outcomes.Outcome.NOT_RUN)
    frame = functools.partial(stream.caller.exchange.frame_chunk, stream.head)
    is_streamed = stream.body.request.stream
    pumped = completion_filter.CompletionFilter(
        conn.machine, stream.state, frame if is_streamed else None
    )
    await relay.run(conn, sink, pumped, deadlines)
    return None


def _deadlines(view: views.View, number: int) -> stream_filter.Deadlines:
    """Return the deadlines of a try; a group that fell silent gets less time to go on."""
    progress = view.cfg.get(settings.PROGRESS_DEADLINE)
    first = view.cfg.get(settings.FIRST_TOKEN_DEADLINE) if number == 0 else progress
    return stream_filter.Deadlines(first, progress, WRITE_SECONDS)


async def _read_head(conn: http_connection.HttpConnection, wait_seconds: float) -> message.Response:
    try:
        with trio.fail_after(wait_seconds):
            return await conn.read_response_head()
    except trio.TooSlowError:
        raise relay.make_silence_error(wait_seconds) from None


def _target_request(stream: ModelStream, chosen: candidates.Candidate) -> message.Request:
    state = stream.state
    fields = header_lists.Headers().add("content-type", "application/json")
    fields.add("x-request-id", state.request_id)
    fields.add("x-group", chosen.name).add("x-epoch", str(chosen.epoch))
    fields.add("x-priority", str(stream.ask.priority))
    fields.add("x-resume-offset", str(state.delivered_tokens))
    body = stream.body.encode_for_target("".join(state.token_texts))
    return message.Request("POST", stream.caller.exchange.request.path, fields, body)
