"""Relays the events of one target's response to the client, for models and plain services."""

from __future__ import annotations

import typing
from collections import abc

import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.gateway import admission, attempts, target_exchange
from galenavane.gateway import state as states
from galenavane.net import http_server, message
from galenavane.serve import event_splitter, target_response

_Outcome = outcomes.Outcome
_Destination = typing.TypeVar("_Destination")


class Progress(typing.Protocol):
    """Progress of a client's stream over all targets that it was sent to.

    :ivar last_event: number of the last event that the client has.
    :ivar events: number of events that targets sent.
    :ivar is_started: whether the client was sent any event.
    """

    request: admission.AdmittedRequest
    last_event: int
    events: int
    is_started: bool


NoteEvents = abc.Callable[[int, bool], None]
"""Called with the number of events in the response so far, and whether the response is complete."""


async def relay(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: Progress,
    attempt: attempts.Attempt[_Destination],
    target_conn: target_exchange.TargetExchange,
    response: target_response.TargetResponse,
    note_events: NoteEvents,
    check_crash: abc.Callable[[], abc.Awaitable[bool]],
) -> failure.Failure | None:
    """Send the events of a response to the client as they arrive.

    :param check_crash: finds out whether the target has crashed.
    :returns: the failure, or ``None`` if the stream is complete.
    """
    splitter = event_splitter.EventSplitter()
    events_before = stream.events
    while (part := await target_conn.read_part()) is not None:
        try:
            whole_events = splitter.feed(part)
        except ValueError as exc:
            return failure.Failure(codes.Code.TARGET_FAILED, str(exc), _Outcome.FAILED)
        if not whole_events:
            continue
        now = trio.current_time()
        note_events(stream.events + len(whole_events) - events_before, False)
        await attempt.claim()
        stream.events += len(whole_events)
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
    note_events(stream.events - events_before, True)
    await attempt.claim()
    if not stream.is_started:
        fields = target_exchange.make_client_headers(response)
        await attempt.finish(exchange.respond, message.Response(200, fields, b""))
        return None
    await attempt.finish(exchange.end_stream)
    return None


async def _find_break(
    stream: Progress,
    splitter: event_splitter.EventSplitter,
    target_conn: target_exchange.TargetExchange,
    check_crash: abc.Callable[[], abc.Awaitable[bool]],
    has_events: bool,
) -> str:
    """Return why a stream that has ended is incomplete; empty if it is complete.

    The end of a connection also ends a stream without a length or chunks, so such a stream is
    complete only if its target still works. Without any event in this response, it is so only if
    the client already has as many events as the answer may have tokens.

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
    return "the target crashed" if has_crashed else ""


async def _send_events(
    exchange: http_server.Exchange,
    stream: Progress,
    response: target_response.TargetResponse,
    data: bytes,
) -> None:
    """Send complete events to the client at once; the headers are those of the first target."""
    if not data:
        return
    await exchange.deliver(target_exchange.make_client_headers(response), data)
    stream.is_started = True
