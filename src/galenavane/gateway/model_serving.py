"""Serves streams of model output from replica groups.

If a stream's group fails, another group resumes it after the last event that the client received.
"""

from __future__ import annotations

import functools
import math

import trio

from galenavane.catalog import engine
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.fleet import group_index, replica_group
from galenavane.gateway import (
    admission,
    cancellable_read,
    head_crash,
    heads_task,
    prompt_blocks,
    stream_relay,
    target_exchange,
)
from galenavane.gateway import state as states
from galenavane.gateway import stream as streams
from galenavane.net import http_server, message, transport_error
from galenavane.observe import events
from galenavane.route import head_capacity, head_choice, head_watch, prompt_suspects
from galenavane.serve import inbound_request, target_response

REFUSED_SUSPECT_SECONDS = 0.3
"""How long to avoid a head that refused a request: it is full, or its group is about to fail."""
NO_GROUP_RETRY_AFTER_SECONDS = (0.4, 1.0)
"""Range of retry-after times: a group re-forms in about a second, and retries are spread out."""
FIRST_EVENT_MARGIN_SECONDS = 0.04
MAX_REFUSALS = 2
_Outcome = outcomes.Outcome
_Verdict = prompt_suspects.Verdict


async def serve(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    request: admission.AdmittedRequest,
    constants: engine.Engine,
) -> failure.Failure | None:
    """Serve a request, and resume it at other groups as far as its route allows.

    :returns: the failure to answer with, or ``None`` if the request was answered.
    """
    stream = streams.Stream(request, constants, request.inbound.last_event_id)
    stream.parts = prompt_blocks.name_parts(request.inbound)
    if constants.find_model(request.inbound.model) is None:
        return failure.Failure(codes.Code.UNKNOWN_MODEL, "no such model is declared")
    while True:
        refusal = await _check_prompt(gw, stream)
        if refusal is not None:
            return refusal
        choice = _choose_group(gw, stream)
        if choice is None:
            return stream.reported_failure or _make_no_group_failure(gw)
        group, in_flight = choice
        queue_failure = _check_queue(gw, stream, in_flight)
        if queue_failure is not None:
            return queue_failure
        if not _may_send(gw, stream):
            return stream.reported_failure or _make_no_group_failure(gw)
        prompt_blocks.record_probe(gw, stream.probed_parts)
        _log_sent(gw, stream, group, in_flight)
        send_failure = await _send_to_group(gw, exchange, stream, group)
        if send_failure is None:
            return None
        _log_send_failed(gw, stream, group, send_failure)
        if stream.reported_failure is None or stream.reported_failure.outcome is _Outcome.NOT_RUN:
            stream.reported_failure = send_failure
        if not _may_retry(stream, send_failure):
            return stream.reported_failure


async def _check_prompt(gw: states.Gateway, stream: streams.Stream) -> failure.Failure | None:
    """Hold a request while its prompt is in doubt, and return the failure if it is blocked.

    A probe that no target has run is still the one probe.
    """
    if stream.events >= prompt_suspects.PROVING_EVENTS:
        return None
    decision = prompt_blocks.decide(gw, stream.parts)
    is_unused_probe = stream.probed_parts and stream.sends == stream.probe_sends
    if is_unused_probe and decision.verdict is not _Verdict.REFUSE:
        return None
    hold_until = trio.current_time() + gw.prompt_suspects.hold_seconds
    while decision.verdict is _Verdict.HOLD and trio.current_time() < hold_until:
        await prompt_blocks.hold(gw, min(decision.until, hold_until))
        decision = prompt_blocks.decide(gw, stream.parts)
    if decision.verdict is not _Verdict.REFUSE:
        stream.probed_parts = decision.parts
        stream.probe_sends = stream.sends
        return None
    if stream.reported_failure is None or stream.reported_failure.outcome is _Outcome.NOT_RUN:
        return prompt_blocks.make_failure(decision)
    return stream.reported_failure


def _check_queue(
    gw: states.Gateway, stream: streams.Stream, in_flight: float
) -> failure.Failure | None:
    """Return the failure for a new request that the least loaded head can't serve in time."""
    model = stream.constants.find_model(stream.request.inbound.model)
    limit = _compute_limit(stream)
    if model is None or stream.sends > 0 or in_flight < limit:
        return None
    retry_after_seconds = head_capacity.retry_after_seconds(
        stream.constants, model, in_flight - limit, gw.rng.random()
    )
    return failure.Failure(
        codes.Code.QUEUE_FULL,
        f"the least loaded of the model's groups has {in_flight:.0f} of {limit:.0f} requests",
        retry_after_seconds=retry_after_seconds,
    )


def _compute_limit(stream: streams.Stream) -> float:
    """Return how many requests one head of the stream's model may have."""
    model = stream.constants.find_model(stream.request.inbound.model)
    if model is None:
        return math.inf
    target_seconds = stream.request.route.latency_target_seconds
    return head_capacity.limit(stream.constants, model, target_seconds)


def _choose_group(
    gw: states.Gateway, stream: streams.Stream
) -> tuple[replica_group.Group, float] | None:
    loads = gw.sum_head_loads()
    groups_by_head: dict[str, replica_group.Group] = {}
    candidates: list[head_choice.Candidate] = []
    probed_heads: set[str] = set()
    serving = group_index.find_serving(
        gw.registry.index,
        stream.request.service,
        stream.constants,
        stream.request.inbound.model,
    )
    for group in serving:
        head = group.head
        if head is None or gw.is_suspect(head.id):
            continue
        in_flight = loads.get(head.id, 0)
        is_near = head.data_centre == gw.data_centre
        candidates.append(head_choice.Candidate(head.id, in_flight, is_near))
        groups_by_head[head.id] = group
        head_requests = gw.heads.get(head.id)
        if head_requests is not None and head_requests.has_probe:
            probed_heads.add(head.id)
    choice = head_choice.pick(
        candidates,
        stream.tried_heads,
        gw.count_entries(),
        _compute_limit(stream),
        gw.rng,
        probed_heads,
        is_random=bool(stream.probed_parts),
    )
    return (groups_by_head[choice.head], choice.in_flight) if choice is not None else None


def _may_send(gw: states.Gateway, stream: streams.Stream) -> bool:
    if stream.request.account and not gw.may_use_keys():
        return False
    if stream.sends + stream.refusals == 0:
        return True
    gw.metrics.further_sends.inc({"service": stream.request.service})
    return gw.get_send_budget(stream.request.service).try_spend(
        gw.count_entries(), trio.current_time()
    )


def _may_retry(stream: streams.Stream, send_failure: failure.Failure) -> bool:
    if send_failure.outcome is _Outcome.NOT_RUN:
        return stream.refusals <= MAX_REFUSALS
    return stream.request.route.is_retryable and stream.sends < stream.request.route.max_sends


def _make_no_group_failure(gw: states.Gateway) -> failure.Failure:
    low, high = NO_GROUP_RETRY_AFTER_SECONDS
    return failure.Failure(
        codes.Code.NO_GROUP,
        "no complete group serves the model",
        retry_after_seconds=gw.rng.uniform(low, high),
    )


def _log_sent(
    gw: states.Gateway, stream: streams.Stream, group: replica_group.Group, in_flight: float
) -> None:
    head = group.head
    events.log(
        "request.sent",
        request=stream.request.inbound.id,
        target=head.id if head is not None else "",
        group=group.key.name,
        epoch=group.key.epoch,
        in_flight=in_flight,
        sends=stream.sends,
        last_event=stream.last_event,
        revision=gw.registry.revision,
    )


def _log_send_failed(
    gw: states.Gateway,
    stream: streams.Stream,
    group: replica_group.Group,
    send_failure: failure.Failure,
) -> None:
    events.log(
        "request.send_failed",
        request=stream.request.inbound.id,
        group=group.key.name,
        epoch=group.key.epoch,
        revision=gw.registry.revision,
        last_event=stream.last_event,
        code=send_failure.code.name,
        outcome=send_failure.outcome.value,
        text=send_failure.message,
    )


async def _send_to_group(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: streams.Stream,
    group: replica_group.Group,
) -> failure.Failure | None:
    head = group.head
    head_requests = heads_task.track_head(gw, group, stream.constants)
    if head is None or head_requests is None:
        return _make_no_group_failure(gw)
    request_id = stream.request.inbound.id
    stream.tried_heads.add(head.id)
    read = head_requests.reads[request_id] = cancellable_read.CancellableRead()
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
    try:
        return await _run_attempt(gw, exchange, stream, group, head_requests, read)
    except cancellable_read.ReadCancelledError:
        text = "the group stalled, or a part of the prompt was blocked"
        return failure.Failure(codes.Code.TARGET_SILENT, text, _Outcome.UNKNOWN)
    finally:
        head_watch.record_end(head_requests.activity, request_id)
        head_requests.reads.pop(request_id, None)
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


async def _run_attempt(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: streams.Stream,
    group: replica_group.Group,
    head_requests: states.HeadRequests,
    read: cancellable_read.CancellableRead,
) -> failure.Failure | None:
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
        seconds_left = stream.request.deadline - trio.current_time()
        is_resumed = stream.sends > 0
        options = inbound_request.SendOptions(
            head.id, stream.request.account, seconds_left, stream.last_event, is_resumed
        )
        stream.sends += 1
        response = await read.run(lambda: target_conn.send(options))
        response_failure = await _check_response(gw, exchange, stream, group, target_conn, response)
        if response_failure is not None or (exchange.is_answered and not stream.is_started):
            return response_failure
        relay_failure = await stream_relay.relay(
            gw, exchange, stream, head_requests, read, target_conn, response, check_crash
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


async def _check_response(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: streams.Stream,
    group: replica_group.Group,
    target_conn: target_exchange.TargetExchange,
    response: target_response.TargetResponse,
) -> failure.Failure | None:
    """Check a target's response before its stream is relayed.

    :returns: the failure, or ``None`` if the response is a stream or was sent to the client.
    """
    head = group.head
    assert head is not None
    if not response.matches_request:
        return failure.Failure(
            codes.Code.WRONG_ANSWER, "the response belongs to another request", _Outcome.UNKNOWN
        )
    if response.is_not_run:
        stream.sends -= 1
        stream.refusals += 1
        gw.suspect(head.id, REFUSED_SUSPECT_SECONDS)
        if response.faulty_member:
            gw.pending_stalls.append((stream.request.service, group.key, (response.faulty_member,)))
            gw.wake_control()
        return failure.Failure(codes.Code.TARGET_REFUSED, f"status {response.status}")
    if response.status == 200:
        if response.is_signed:
            return None
        return failure.Failure(
            codes.Code.TARGET_FAILED, "the response is not signed", _Outcome.FAILED
        )
    response_failure = failure.Failure(
        codes.Code.TARGET_FAILED, f"status {response.status}", _Outcome.FAILED
    )
    is_final = not _may_retry(stream, response_failure) and not stream.is_started
    if not is_final or response.status in (408, 429, 503):
        return response_failure
    body = await target_conn.read_body()
    fields = target_exchange.make_client_headers(response)
    await exchange.respond(message.Response(response.status, fields, body))
    return None
