"""Relays the events of one target's response to the client."""

from __future__ import annotations

from collections import abc

import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.gateway import attempts, heads_task, prompt_blocks, target_exchange
from galenavane.gateway import state as states
from galenavane.gateway import stream as streams
from galenavane.net import http_server, message
from galenavane.route import prompt_suspects
from galenavane.serve import event_splitter, target_response

_Outcome = outcomes.Outcome


async def relay(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: streams.Stream,
    attempt: attempts.GroupAttempt,
    head_requests: states.HeadRequests,
    target_conn: target_exchange.TargetExchange,
    response: target_response.TargetResponse,
    check_crash: abc.Callable[[], abc.Awaitable[bool]],
) -> failure.Failure | None:
    """Send the events of a response to the client as they arrive.

    :param check_crash: finds out whether the head has crashed.
    :returns: the failure, or ``None`` if the stream is complete.
    """
    splitter = event_splitter.EventSplitter()
    events_before = stream.events
    request_id = stream.request.inbound.id
    while (part := await target_conn.read_part()) is not None:
        try:
            whole_events = splitter.feed(part)
        except ValueError as exc:
            return failure.Failure(codes.Code.TARGET_FAILED, str(exc), _Outcome.FAILED)
        if not whole_events:
            continue
        now = trio.current_time()
        heads_task.record_event(gw, attempt.destination, head_requests, request_id, now)
        await attempt.claim()
        stream.events += len(whole_events)
        if stream.events >= events_before + prompt_suspects.PROVING_EVENTS:
            _record_proof(gw, stream, head_requests)
        if not stream.is_started:
            waited_seconds = now - stream.request.received_at
            gw.metrics.first_event_seconds.observe(
                {"model": stream.request.inbound.model}, waited_seconds
            )
        data = b""
        for event in whole_events:
            if event.number != stream.last_event + 1:
                await attempt.deliver(_send_events, exchange, stream, response, data)
                text = f"event {event.number} follows event {stream.last_event}"
                return failure.Failure(codes.Code.TARGET_FAILED, text, _Outcome.FAILED)
            stream.last_event = event.number
            data += event.data
        await attempt.deliver(_send_events, exchange, stream, response, data)
    has_events = stream.events > events_before
    break_text = await _find_break(stream, splitter, target_conn, check_crash, has_events)
    if break_text:
        return failure.Failure(codes.Code.TARGET_LOST, break_text, _Outcome.UNKNOWN)
    if has_events:
        _record_proof(gw, stream, head_requests)
    await attempt.claim()
    if not stream.is_started:
        fields = target_exchange.make_client_headers(response)
        await attempt.finish(exchange.respond, message.Response(200, fields, b""))
        return None
    await attempt.finish(exchange.end_stream)
    return None


async def _find_break(
    stream: streams.Stream,
    splitter: event_splitter.EventSplitter,
    target_conn: target_exchange.TargetExchange,
    check_crash: abc.Callable[[], abc.Awaitable[bool]],
    has_events: bool,
) -> str:
    """Return why a stream that has ended is incomplete; empty if it is complete.

    The end of a connection also ends a stream without a length or chunks, so such a stream is
    complete only if its head still works. Without any event in this response, it is so only if the
    client already has as many events as the answer may have tokens.

    :param has_events: whether this response held an event.
    """
    if splitter.is_empty and target_conn.has_framing:
        return ""
    has_crashed = await check_crash()
    if not splitter.is_empty:
        return "the stream ended in the middle of an event"
    max_events = stream.request.inbound.max_answer_tokens
    if not has_events and not 0 < max_events <= stream.last_event:
        return "the connection was closed before the first event"
    return "the head crashed" if has_crashed else ""


def _record_proof(
    gw: states.Gateway, stream: streams.Stream, head_requests: states.HeadRequests
) -> None:
    """Clear the parts of a prompt to which the head has written an answer."""
    if head_requests.waiting.pop(stream.request.inbound.id, None) is not None:
        prompt_blocks.record_success(gw, stream.parts)


async def _send_events(
    exchange: http_server.Exchange,
    stream: streams.Stream,
    response: target_response.TargetResponse,
    data: bytes,
) -> None:
    """Send complete events to the client at once; the headers are those of the first target."""
    if not data:
        return
    await exchange.deliver(target_exchange.make_client_headers(response), data)
    stream.is_started = True
