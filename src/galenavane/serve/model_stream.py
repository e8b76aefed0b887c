"""Streams one completion from replica groups, resuming on another group after a failure."""

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

CONNECT_TIMEOUT_SECONDS = 1.0
CANCEL_TIMEOUT_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 20.0
MAX_TRIES = 5
TRIES_PER_GRANT = 2
RETRY_PAUSE_SECONDS = 0.25
RETRY_AFTER_SECONDS = 1.0
MAX_CANCEL_RESPONSE_BYTES = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class ModelStream:
    """One completion request in progress.

    :ivar state: progress of the completion over all tries.
    :ivar routing_req: the request as the router sees it.
    :ivar head: header fields of the streamed response to the caller.
    :ivar tracker: checks that a possibly executed request is not reported as not executed. A
        completion may be executed again, so the tracker treats it as idempotent.
    """

    auth_req: authenticated_request.AuthenticatedRequest
    body: completion_body.CompletionBody
    state: stream_state.StreamState
    routing_req: grants.RoutingRequest
    head: header_lists.Headers
    tracker: execution_tracker.ExecutionTracker = dataclasses.field(
        default_factory=functools.partial(execution_tracker.ExecutionTracker, True)
    )


async def run(view: views.View, stream: ModelStream) -> failure.Failure | None:
    """Fetch the whole completion, and send its chunks to the caller if the response is streamed.

    A response that isn't streamed is only collected in ``stream.state``; ``model_request`` sends
    it.

    :param view: this entry's view of the deployment.
    :returns: the failure to report, or ``None`` when the completion is whole. Of several failures
        it is the one after which the request was most likely executed, the latest of equals.
    :raises DisconnectError: when the caller disconnected.
    """
    state = stream.state
    worst_failure: failure.Failure | None = None
    while state.try_count < MAX_TRIES:
        granted = await disconnect.cancel_on_disconnect(
            stream.auth_req.exchange.conn,
            dispatch.acquire,
            view,
            stream.routing_req,
            state.failed_groups,
        )
        if granted.is_error():
            worst_failure = classify.choose_worse(worst_failure, granted.error)
            break
        error = await _try_granted(view, stream, granted.ok)
        if error is None:
            return None
        worst_failure = classify.choose_worse(worst_failure, error)
        if error.code is codes.Code.BAD_REQUEST:
            break
        events.log(
            "request.retry", request=stream.auth_req.request_id, group=granted.ok.candidate.name
        )
        state.failed_groups.add(granted.ok.candidate.name)
        if error.outcome is outcomes.Outcome.NOT_RUN:
            # A group refuses requests while its members join or leave it, and would refuse an
            # immediate retry as well.
            await disconnect.cancel_on_disconnect(
                stream.auth_req.exchange.conn, trio.sleep, RETRY_PAUSE_SECONDS
            )
    assert worst_failure is not None
    stream.tracker.check_outcome(worst_failure.outcome)
    return msgspec.structs.replace(
        worst_failure, retry_after_seconds=worst_failure.retry_after_seconds or RETRY_AFTER_SECONDS
    )


async def _try_granted(
    view: views.View, stream: ModelStream, grant: grants.Grant
) -> failure.Failure | None:
    """Request the completion from the granted group.

    After a timeout or a broken connection, one new connection to the group is tried. All tries
    under one grant make up one attempt, whose result the router gets.
    """
    state = stream.state
    delivered_before = state.delivered_tokens
    executions_before = stream.tracker.possible_executions
    error: failure.Failure | None = None
    worst_failure: failure.Failure | None = None
    is_delivered = False
    try:
        for try_number in range(TRIES_PER_GRANT):
            error = await _try_once(view, stream, grant.candidate, try_number)
            if error is None:
                break
            worst_failure = classify.choose_worse(worst_failure, error)
            if error.outcome is not outcomes.Outcome.UNKNOWN:
                break
        is_delivered = error is None
        return None if is_delivered else worst_failure
    finally:
        first_token_seconds = (
            state.first_token_at - grant.sent_at
            if state.delivered_tokens > delivered_before
            else None
        )
        _record_metrics(view, state, first_token_seconds, delivered_before)
        result = grants.AttemptResult(
            first_token_seconds, state.delivered_tokens - delivered_before, error is not None
        )
        dispatch.release(view, grant, result)
        if not is_delivered and stream.tracker.possible_executions > executions_before:
            await _cancel_on_target(view, stream, grant.candidate)


def _is_group_complete(view: views.View, candidate: candidates.Candidate) -> bool:
    """Return whether the group is still known to be complete in the same epoch.

    It is complete while every member reports that it is ready in the group and the leader reports
    that it is in contact with all of them. The reports prove this until ``complete_until``.
    """
    group = view.router.groups.by_name.get(candidate.name)
    if group is None or group.report.epoch != candidate.epoch:
        return False
    return trio.current_time() <= group.report.complete_until


def _record_metrics(
    view: views.View,
    state: stream_state.StreamState,
    first_token_seconds: float | None,
    delivered_before: int,
) -> None:
    if state.try_count > 1:
        view.metrics.retries.inc({})
    if first_token_seconds is None:
        return
    view.metrics.first_token_seconds.observe({}, first_token_seconds)
    tokens = state.delivered_tokens - delivered_before
    if tokens > 1:
        elapsed_seconds = trio.current_time() - state.first_token_at
        view.metrics.between_tokens_seconds.observe({}, elapsed_seconds / (tokens - 1))


async def _cancel_on_target(
    view: views.View, stream: ModelStream, candidate: candidates.Candidate
) -> None:
    """Cancel the request on the target.

    The request goes over a new connection, because the stream's connection may be unresponsive.
    """
    req = message.Request("POST", f"/v1/cancel/{stream.state.request_id}")
    address = addresses.parse(candidate.address)
    with trio.move_on_after(CANCEL_TIMEOUT_SECONDS, shield=True):
        try:
            await round_trip.send(
                view.net, address, req, CANCEL_TIMEOUT_SECONDS, MAX_CANCEL_RESPONSE_BYTES
            )
        except transport_error.TransportError as exc:
            events.log("request.cancel_lost", request=stream.auth_req.request_id, text=str(exc))


async def _try_once(
    view: views.View, stream: ModelStream, candidate: candidates.Candidate, try_number: int
) -> failure.Failure | None:
    """Request the rest of the completion over a new connection."""
    state = stream.state
    state.begin_try()
    stream.tracker.begin_try()
    try:
        conn = await view.net.dial(addresses.parse(candidate.address), CONNECT_TIMEOUT_SECONDS)
    except transport_error.TransportError as exc:
        stream.tracker.end_try(False, False)
        return classify.classify_error(exc)
    is_refused = False
    try:
        error = await _exchange(view, stream, candidate, conn, try_number)
        is_refused = error is not None and error.outcome is outcomes.Outcome.NOT_RUN
        return error
    except transport_error.TransportError as exc:
        return classify.classify_error(exc)
    finally:
        stream.tracker.end_try(conn.has_sent_bytes, is_refused)
        await conn.close()


async def _exchange(
    view: views.View,
    stream: ModelStream,
    candidate: candidates.Candidate,
    conn: http_connection.HttpConnection,
    try_number: int,
) -> failure.Failure | None:
    sink = stream.auth_req.exchange.conn
    deadlines = _make_deadlines(view, try_number)
    if not _is_group_complete(view, candidate):
        # The time until which reports prove completeness may pass while the connection is opened.
        text = f'group "{candidate.name}" is no longer known to be complete'
        return failure.Failure(codes.Code.NO_GROUP, text, outcomes.Outcome.NOT_RUN)
    events.log(
        "request.send",
        request=stream.auth_req.request_id,
        group=candidate.name,
        epoch=candidate.epoch,
        offset=stream.state.delivered_tokens,
    )
    await conn.send_request(_make_target_request(stream, candidate), candidate.address)
    head = await disconnect.cancel_on_disconnect(sink, _read_head, conn, deadlines.first_seconds)
    error = classify.classify_response(head)
    if error is not None:
        return error
    if head.status != 200:
        text = f"the engine rejected the request with status {head.status}"
        return failure.Failure(codes.Code.BAD_REQUEST, text, outcomes.Outcome.NOT_RUN)
    # The response head goes out with the first chunk.
    frame_http_chunk = functools.partial(stream.auth_req.exchange.frame_chunk, stream.head)
    is_streamed = stream.body.request.stream
    chunk_filter = completion_filter.CompletionFilter(
        conn.machine, stream.state, frame_http_chunk if is_streamed else None
    )
    await relay.run(conn, sink, chunk_filter, deadlines)
    return None


def _make_deadlines(view: views.View, try_number: int) -> stream_filter.Deadlines:
    """Return the deadlines of a try.

    :param try_number: 0 for the first try on a group; later ones get less time for the first
        token, because the group has already timed out or broken the connection.
    """
    progress_seconds = view.cfg.get(settings.PROGRESS_DEADLINE)
    first_seconds = (
        view.cfg.get(settings.FIRST_TOKEN_DEADLINE) if try_number == 0 else progress_seconds
    )
    return stream_filter.Deadlines(first_seconds, progress_seconds, WRITE_TIMEOUT_SECONDS)


async def _read_head(
    conn: http_connection.HttpConnection, timeout_seconds: float
) -> message.Response:
    try:
        with trio.fail_after(timeout_seconds):
            return await conn.read_response_head()
    except trio.TooSlowError:
        raise relay.make_silence_error(timeout_seconds) from None


def _make_target_request(stream: ModelStream, candidate: candidates.Candidate) -> message.Request:
    state = stream.state
    fields = header_lists.Headers().add("content-type", "application/json")
    fields.add("x-request-id", state.request_id)
    fields.add("x-group", candidate.name).add("x-epoch", str(candidate.epoch))
    fields.add("x-priority", str(stream.routing_req.priority))
    fields.add("x-resume-offset", str(state.delivered_tokens))
    body = stream.body.encode_for_target("".join(state.token_texts))
    return message.Request("POST", stream.auth_req.exchange.request.path, fields, body)
