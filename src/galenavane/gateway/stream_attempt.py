"""Sends a stream's request to the head of one group, and relays the response."""

from __future__ import annotations

import functools
from collections import abc

import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.fleet import replica_group, target
from galenavane.gateway import (
    attempts,
    head_crash,
    heads_task,
    member_check,
    permits,
    prompt_blocks,
    stream_relay,
    target_exchange,
)
from galenavane.gateway import state as states
from galenavane.gateway import stream as streams
from galenavane.net import http_server, message, transport_error
from galenavane.route import head_watch, prompt_suspects
from galenavane.serve import inbound_request, target_response

REFUSED_SUSPECT_SECONDS = 0.3
"""How long to avoid a head that refused a request: it is full, or its group is about to fail."""
FIRST_EVENT_MARGIN_SECONDS = 0.04
_Outcome = outcomes.Outcome


def register(
    gw: states.Gateway, stream: streams.Stream, attempt: attempts.GroupAttempt
) -> states.HeadRequests | None:
    """Count an attempt at its head from now on, so that the next choice of a head sees it.

    :returns: the requests at the head, ``None`` if it is no longer listed.
    """
    group = attempt.destination
    head_requests = heads_task.track_head(gw, group, stream.constants)
    if head_requests is None:
        return None
    request_id = stream.request.inbound.id
    head_requests.attempts[request_id] = attempt
    attempt.is_silent = head_requests.activity.is_stalled
    now = trio.current_time()
    head_watch.record_send(
        head_requests.activity, request_id, _predict_first_event_seconds(stream, group), now
    )
    if stream.events < prompt_suspects.PROVING_EVENTS:
        head_requests.waiting[request_id] = states.WaitingRequest(
            stream.parts,
            stream.request.inbound.prompt_tokens,
            now,
            _compute_prefill_seconds(stream, group),
            is_probe=bool(stream.probed_parts),
        )
    return head_requests


async def run(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: streams.Stream,
    head_requests: states.HeadRequests | None,
    attempt: attempts.GroupAttempt,
) -> failure.Failure | None:
    """Make one attempt to serve a stream.

    :returns: the failure, or ``None`` if the request was answered.
    """
    if head_requests is None:
        return failure.Failure(codes.Code.NO_GROUP, "the group's head is not listed")
    request_id = stream.request.inbound.id
    try:
        return await _exchange(gw, exchange, stream, attempt, head_requests)
    finally:
        head_watch.record_end(head_requests.activity, request_id)
        head_requests.attempts.pop(request_id, None)
        head_requests.waiting.pop(request_id, None)
        head_requests.ended.discard(request_id)


def _predict_first_event_seconds(stream: streams.Stream, group: replica_group.Group) -> float:
    """Return the predicted time to the first event, in seconds."""
    model = stream.constants.find_model(group.model)
    if model is None:
        return FIRST_EVENT_MARGIN_SECONDS
    pass_seconds = stream.constants.pass_seconds(model, stream.constants.slots // 2)
    prefill_seconds = _compute_prefill_seconds(stream, group)
    return FIRST_EVENT_MARGIN_SECONDS + prefill_seconds + 2 * pass_seconds


def _compute_prefill_seconds(stream: streams.Stream, group: replica_group.Group) -> float:
    """Return how long the prefill of the prompt takes at least, in seconds."""
    model = stream.constants.find_model(group.model)
    if model is None:
        return 0.0
    prompt_tokens = stream.request.inbound.prompt_tokens
    return prompt_tokens / stream.constants.prefill_tokens_per_second * model.time_factor


async def _exchange(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: streams.Stream,
    attempt: attempts.GroupAttempt,
    head_requests: states.HeadRequests,
) -> failure.Failure | None:
    group = attempt.destination
    head = group.head
    assert head is not None
    check_crash = functools.partial(
        head_crash.check, gw, group, head, head_requests, stream.request.inbound.id
    )
    try:
        target_conn = await target_exchange.connect(gw, head, stream.request.inbound)
    except transport_error.TransportError as exc:
        gw.suspect(head.id, heads_task.SUSPECT_SECONDS)
        stream.refusals += 1
        return failure.Failure(codes.Code.TARGET_UNREACHABLE, str(exc))
    try:
        permit = permits.check(gw, head)
        if permit.is_binding:
            stream.refusals += 1
            return failure.Failure(codes.Code.TARGET_REFUSED, f"the head is {permit.reason}")
        seconds_left = stream.request.deadline - trio.current_time()
        is_resumed = stream.sends > 0
        options = inbound_request.SendOptions(
            head.id, stream.request.account, seconds_left, stream.last_event, is_resumed
        )
        stream.sends += 1
        attempt.has_begun = True
        response = await target_conn.send(options)
        response_failure = await _check_response(
            gw, exchange, stream, attempt, target_conn, response
        )
        if response_failure is not None or (exchange.is_answered and not stream.is_started):
            return response_failure
        note_events = functools.partial(_note_events, gw, stream, group, head_requests)
        relay_failure = await stream_relay.relay(
            gw,
            exchange,
            stream,
            attempt,
            target_conn,
            response,
            note_events,
            functools.partial(_has_crashed, gw, head, check_crash),
        )
        if relay_failure is not None and relay_failure.code is codes.Code.TARGET_FAILED:
            target_exchange.avoid_malformed(gw, head, relay_failure.message)
        return relay_failure
    except transport_error.TransportError as exc:
        target_exchange.note_failure(gw, head, exc)
        if exc.kind is transport_error.Kind.RESET:
            await check_crash()
        return failure.Failure(codes.Code.TARGET_LOST, str(exc), _Outcome.UNKNOWN)
    finally:
        await target_conn.close()


async def _has_crashed(
    gw: states.Gateway, head: target.Target, check_crash: abc.Callable[[], abc.Awaitable[bool]]
) -> bool:
    """Whether a head has crashed whose response ended with its connection."""
    has_stopped = await member_check.has_stopped(gw, head)
    return await check_crash() or has_stopped


def _note_events(
    gw: states.Gateway,
    stream: streams.Stream,
    group: replica_group.Group,
    head_requests: states.HeadRequests,
    count: int,
    is_complete: bool,
) -> None:
    """Record that a head has written events, which clears the parts of the prompt."""
    request_id = stream.request.inbound.id
    if not is_complete:
        heads_task.record_event(gw, group, head_requests, request_id, trio.current_time())
    is_proof = count >= prompt_suspects.PROVING_EVENTS or (is_complete and count > 0)
    if is_proof and head_requests.waiting.pop(request_id, None) is not None:
        prompt_blocks.record_success(gw, stream.parts)


async def _check_response(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: streams.Stream,
    attempt: attempts.GroupAttempt,
    target_conn: target_exchange.TargetExchange,
    response: target_response.TargetResponse,
) -> failure.Failure | None:
    """Check a target's response before its stream is relayed.

    :returns: the failure, or ``None`` if the response is a stream or was sent to the client.
    """
    group = attempt.destination
    head = group.head
    assert head is not None
    if not response.matches_request:
        return failure.Failure(
            codes.Code.WRONG_ANSWER, "the response belongs to another request", _Outcome.UNKNOWN
        )
    if response.is_not_run:
        stream.sends -= 1
        stream.refusals += 1
        if not response.notice.wait_seconds:
            gw.suspect(head.id, REFUSED_SUSPECT_SECONDS)
        if response.faulty_member:
            gw.pending_stalls.append((stream.request.service, group.key, (response.faulty_member,)))
            gw.wake_control()
        return failure.Failure(
            codes.Code.TARGET_REFUSED,
            f"status {response.status}",
            retry_after_seconds=response.notice.wait_seconds or None,
        )
    if response.status == 200:
        if response.is_signed:
            return None
        return failure.Failure(
            codes.Code.TARGET_FAILED, "the response is not signed", _Outcome.FAILED
        )
    response_failure = failure.Failure(
        codes.Code.TARGET_FAILED, f"status {response.status}", _Outcome.FAILED
    )
    is_final = not streams.may_retry(stream, response_failure) and not stream.is_started
    if not is_final or attempt.has_others or response.status in (408, 429, 503):
        return response_failure
    with gw.answer_budget.reserve() as reservation:
        parts, is_complete = await target_conn.read_parts(reservation)
        if not is_complete:
            return response_failure
        await attempt.claim()
        fields = target_exchange.make_client_headers(response)
        await attempt.finish(
            exchange.respond, message.Response(response.status, fields, b"".join(parts))
        )
    return None
