"""Sends a request to one target without a replica group, and forwards the response."""

from __future__ import annotations

import functools

import trio

from galenavane.catalog import route
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.fleet import target
from galenavane.gateway import (
    admission,
    attempts,
    member_check,
    permits,
    plain_call,
    stream_relay,
    target_exchange,
)
from galenavane.gateway import state as states
from galenavane.net import buffer_budget, http_server, message, transport_error
from galenavane.net import headers as header_lists
from galenavane.observe import events
from galenavane.route import accept_pause
from galenavane.serve import inbound_request, target_response

SILENCE_SHARE = 0.45
"""Share of the remaining time after which another target is tried beside a silent one."""
SUSPECT_SECONDS = 1.5
EVENTS_TYPE = "text/event-stream"
RETRY_AFTER_SECONDS = 0.1
"""Targets without replica groups have capacity again within tens of milliseconds."""
Attempt = attempts.Attempt[target.Target]
_Outcome = outcomes.Outcome


def count(gw: states.Gateway, destination: target.Target) -> None:
    """Count an attempt at its target from now on, so that the next choice of a target sees it."""
    gw.target_in_flight[destination.id] = gw.target_in_flight.get(destination.id, 0) + 1


async def run(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    call: plain_call.PlainCall,
    attempt: Attempt,
) -> failure.Failure | None:
    """Make one attempt, which is counted at its target, to serve a request.

    :returns: the failure, or ``None`` if the request was answered.
    """
    try:
        return await _exchange(gw, exchange, call, attempt)
    finally:
        gw.target_in_flight[attempt.destination.id] -= 1


async def _exchange(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    call: plain_call.PlainCall,
    attempt: Attempt,
) -> failure.Failure | None:
    destination = attempt.destination
    try:
        target_conn = await _connect(gw, call, attempt)
    except transport_error.TransportError as exc:
        return _make_unreachable(str(exc))
    try:
        if not _may_send(gw, call, destination):
            return _make_unreachable("the target or the account may no longer be used")
        await attempt.begin()
        response = await _send(call, attempt, target_conn)
        if _is_stream(call, response):
            return await _relay(gw, exchange, call, attempt, target_conn, response)
        with gw.answer_budget.reserve() as reservation:
            return await _answer(gw, exchange, call, attempt, target_conn, response, reservation)
    except transport_error.TransportError as exc:
        target_exchange.note_failure(gw, destination, exc)
        return failure.Failure(codes.Code.TARGET_LOST, str(exc), _Outcome.UNKNOWN)
    finally:
        await target_conn.close()


async def _answer(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    call: plain_call.PlainCall,
    attempt: Attempt,
    target_conn: target_exchange.TargetExchange,
    response: target_response.TargetResponse,
    reservation: buffer_budget.Reservation,
) -> failure.Failure | None:
    """Send a response to the client once it is complete, or as it is read if it is too long.

    :raises TransportError: if the connection to the target fails before the end.
    """
    parts, is_complete = await target_conn.read_parts(reservation)
    if is_complete:
        if not target_conn.has_framing and await _has_crashed(gw, attempt.destination):
            return _make_crashed()
        await target_conn.close()
    response_failure = _check_response(gw, call, attempt, response)
    if response_failure is not None:
        return response_failure
    if is_complete:
        await _forward(gw, exchange, call, attempt, response, b"".join(parts))
        return None
    if target_conn.stated_bytes is None and _may_improve(call, attempt):
        text = "the body has no length and fills the memory for answers"
        target_exchange.avoid_malformed(gw, attempt.destination, text)
        return failure.Failure(codes.Code.TARGET_FAILED, text, _Outcome.FAILED)
    reservation.clear()
    return await _pass_on(gw, exchange, attempt, target_conn, response, parts)


async def _pass_on(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    attempt: Attempt,
    target_conn: target_exchange.TargetExchange,
    response: target_response.TargetResponse,
    parts: list[bytes],
) -> failure.Failure | None:
    """Send a response as it is read, after which a break can't be hidden any more.

    :param parts: the parts that were read already, which are taken out as they are sent.
    :raises TransportError: if the connection to the target fails before the end.
    """
    await attempt.claim()
    fields = target_exchange.make_client_headers(response)
    await attempt.deliver(exchange.start_stream, response.status, fields)
    while parts:
        await attempt.deliver(exchange.send_chunk, parts.pop(0))
    while (part := await target_conn.read_body_part()) is not None:
        await attempt.deliver(exchange.send_chunk, part)
    if not target_conn.has_framing and await _has_crashed(gw, attempt.destination):
        return _make_crashed()
    await attempt.finish(exchange.end_stream)
    return None


def _may_improve(call: plain_call.PlainCall, attempt: Attempt) -> bool:
    """Whether another target may still answer."""
    return attempt.has_others or not plain_call.is_last(call)


def _make_crashed() -> failure.Failure:
    return failure.Failure(codes.Code.TARGET_LOST, "the target crashed", _Outcome.UNKNOWN)


def _make_unreachable(text: str) -> failure.Failure:
    return failure.Failure(
        codes.Code.TARGET_UNREACHABLE, text, retry_after_seconds=RETRY_AFTER_SECONDS
    )


async def _connect(
    gw: states.Gateway, call: plain_call.PlainCall, attempt: Attempt
) -> target_exchange.TargetExchange:
    """Connect to a target, and wait for one that may only pause; another may be tried meanwhile.

    :raises TransportError: with kind ``NOT_CONNECTED``.
    """
    request = call.request
    destination = attempt.destination
    while True:
        began_at = trio.current_time()
        try:
            target_conn = await target_exchange.connect(gw, destination, request.inbound)
        except transport_error.TransportError as exc:
            gw.suspect(destination.id, SUSPECT_SECONDS)
            if exc.is_refused:
                accept_pause.record_answered(gw.accept_pauses, destination.id)
                raise
            accept_pause.record_unanswered(gw.accept_pauses, destination.id, began_at)
            until = accept_pause.wait_until(
                gw.accept_pauses, destination.id, request.received_at, request.deadline
            )
            if trio.current_time() >= until or not _may_send(gw, call, destination):
                raise
        else:
            accept_pause.record_answered(gw.accept_pauses, destination.id)
            return target_conn
        if not attempt.is_silent:
            events.log("request.not_accepted", request=request.inbound.id, target=destination.id)
            attempt.note_silence()
        await trio.sleep_until(began_at + target_exchange.CONNECT_TIMEOUT_SECONDS)


def may_begin(gw: states.Gateway, call: plain_call.PlainCall) -> bool:
    """Whether a request may be sent while the entry stops, as far as that matters."""
    return call.sends > 0 or gw.may_begin(call.request.deadline)


def _may_send(gw: states.Gateway, call: plain_call.PlainCall, destination: target.Target) -> bool:
    """Whether the request may still be sent to the target that was chosen."""
    is_permitted = not permits.check(gw, destination).is_binding
    return is_permitted and may_begin(gw, call) and may_use_account(gw, call.request)


def may_use_account(gw: states.Gateway, request: admission.AdmittedRequest) -> bool:
    """Whether a request's account is known well enough to send the request."""
    return not request.account or gw.may_use_keys()


async def _send(
    call: plain_call.PlainCall, attempt: Attempt, target_conn: target_exchange.TargetExchange
) -> target_response.TargetResponse:
    request = call.request
    is_resumed = call.sends > 0
    call.sends += 1
    call.tried_ids.add(attempt.destination.id)
    _expect_answer(call, attempt)
    options = inbound_request.SendOptions(
        attempt.destination.id,
        request.account,
        request.deadline - trio.current_time(),
        call.last_event,
        is_resumed,
    )
    return await target_conn.send(options)


def _expect_answer(call: plain_call.PlainCall, attempt: Attempt) -> None:
    """Let another target be tried unless this one sends its answer, or more of it, in time."""
    if plain_call.is_last(call):
        return
    share_seconds = (call.request.deadline - trio.current_time()) * SILENCE_SHARE
    attempt.expect_answer(max(share_seconds, call.request.route.latency_target_seconds))


def _is_stream(call: plain_call.PlainCall, response: target_response.TargetResponse) -> bool:
    """Whether a response holds the events, or the rest of them, that the client waits for."""
    is_events = response.media_type in ("", EVENTS_TYPE) or call.last_event > 0
    is_success = response.status == 200 and response.is_signed and not response.is_not_run
    is_stream = call.request.route.kind is route.Kind.STREAM and is_events
    return is_stream and is_success and response.matches_request


async def _relay(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    call: plain_call.PlainCall,
    attempt: Attempt,
    target_conn: target_exchange.TargetExchange,
    response: target_response.TargetResponse,
) -> failure.Failure | None:
    """Send the events of a response to the client as they arrive."""
    relay_failure = await stream_relay.relay(
        gw,
        exchange,
        call,
        attempt,
        target_conn,
        response,
        lambda count, is_complete: _expect_answer(call, attempt),
        functools.partial(_has_crashed, gw, attempt.destination),
    )
    if relay_failure is not None and relay_failure.code is codes.Code.TARGET_FAILED:
        target_exchange.avoid_malformed(gw, attempt.destination, relay_failure.message)
    return relay_failure


async def _has_crashed(gw: states.Gateway, destination: target.Target) -> bool:
    """Whether a target no longer accepts connections after its answer ended with one."""
    if not await member_check.has_stopped(gw, destination):
        return False
    events.log("target.crashed", target=destination.id)
    gw.suspect(destination.id, SUSPECT_SECONDS)
    return True


def _check_response(
    gw: states.Gateway,
    call: plain_call.PlainCall,
    attempt: Attempt,
    response: target_response.TargetResponse,
) -> failure.Failure | None:
    """Return the failure that a response means, unless it is for the client."""
    if not response.matches_request:
        return failure.Failure(
            codes.Code.WRONG_ANSWER, "the response belongs to another request", _Outcome.UNKNOWN
        )
    if response.is_not_run:
        if response.status == 421:
            gw.suspect(attempt.destination.id, SUSPECT_SECONDS)
        return failure.Failure(
            codes.Code.TARGET_REFUSED,
            f"status {response.status}",
            retry_after_seconds=response.notice.wait_seconds or RETRY_AFTER_SECONDS,
        )
    if response.status < 300 and not response.is_signed:
        return failure.Failure(
            codes.Code.TARGET_FAILED, "the response is not signed", _Outcome.FAILED
        )
    if call.is_started:
        return failure.Failure(
            codes.Code.TARGET_FAILED, f"status {response.status}", _Outcome.FAILED
        )
    is_retryable = call.request.route.is_retryable
    if response.status >= 500 and is_retryable and _may_improve(call, attempt):
        return failure.Failure(
            codes.Code.TARGET_FAILED, f"status {response.status}", _Outcome.FAILED
        )
    if response.status in (408, 429, 503):
        # These statuses promise that the request was not run, but the target doesn't say that.
        return failure.Failure(
            codes.Code.TARGET_FAILED, f"status {response.status}", _Outcome.UNKNOWN
        )
    return None


async def _forward(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    call: plain_call.PlainCall,
    attempt: Attempt,
    response: target_response.TargetResponse,
    body: bytes,
) -> None:
    """Send a complete response to the client, and give up the other attempts."""
    if attempt.has_others:
        events.log(
            "request.first_answer", request=call.request.inbound.id, target=attempt.destination.id
        )
    await attempt.claim()
    fields = header_lists.Headers(response.headers.pairs)
    if gw.is_closing:
        fields.add("connection", "close")
    await attempt.finish(exchange.respond, message.Response(response.status, fields, body))
