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
    attempts,
    permits,
    prompt_blocks,
    stream_attempt,
)
from galenavane.gateway import state as states
from galenavane.gateway import stream as streams
from galenavane.net import http_server
from galenavane.observe import events
from galenavane.route import head_capacity, head_choice, prompt_suspects

NO_GROUP_RETRY_AFTER_SECONDS = (0.4, 1.0)
"""Range of retry-after times: a group re-forms in about a second, and retries are spread out."""
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
    return await attempts.serve(functools.partial(_serve_attempts, gw, exchange, stream))


async def _serve_attempts(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: streams.Stream,
    tries: attempts.GroupAttempts,
) -> failure.Failure | None:
    """Make attempts, one after the other unless a target is silent.

    :returns: the failure to answer with, or ``None`` if the request was answered.
    """
    while True:
        refusal = await _check_prompt(gw, stream)
        if refusal is not None:
            return refusal
        choice = _choose_group(gw, stream)
        if choice is None:
            wait_end = _find_wait_end(gw, stream)
            if await permits.wait(gw, wait_end, stream.request.deadline):
                continue
            return _choose_failure(gw, stream, wait_end)
        queue_failure = _check_queue(gw, stream, choice[1])
        if queue_failure is not None:
            return queue_failure
        if not _may_send(gw, stream):
            return stream.reported_failure or _make_no_group_failure(gw)
        prompt_blocks.record_probe(gw, stream.probed_parts)
        _start_attempt(gw, exchange, stream, tries, choice)
        last_failure = await _finish_attempts(gw, exchange, stream, tries)
        if last_failure is None:
            return None
        if not streams.may_retry(stream, last_failure):
            return stream.reported_failure


def _start_attempt(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: streams.Stream,
    tries: attempts.GroupAttempts,
    choice: tuple[replica_group.Group, float],
) -> None:
    group, in_flight = choice
    _log_sent(gw, stream, group, in_flight, len(tries.in_progress))
    if group.head is not None:
        stream.tried_heads.add(group.head.id)
    attempt = tries.add(group)
    head_requests = stream_attempt.register(gw, stream, attempt)
    tries.start(attempt, functools.partial(stream_attempt.run, gw, exchange, stream, head_requests))


async def _finish_attempts(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: streams.Stream,
    tries: attempts.GroupAttempts,
) -> failure.Failure | None:
    """Wait for all attempts, and start another one when those in progress are silent.

    :returns: the last failure, or ``None`` if the request was answered.
    """
    last_failure: failure.Failure | None = None
    while tries.in_progress:
        wait_seconds = attempts.HEDGE_INTERVAL_SECONDS if tries.is_silent else math.inf
        for ended in await tries.wait(wait_seconds):
            if ended.error is not None:
                raise ended.error
            if ended.failure is None:
                return None
            last_failure = ended.failure
            _log_send_failed(gw, stream, ended.destination, last_failure)
            streams.record_failure(stream, last_failure)
        if tries.in_progress and tries.is_silent:
            _start_hedge(gw, exchange, stream, tries)
    return last_failure


def _start_hedge(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    stream: streams.Stream,
    tries: attempts.GroupAttempts,
) -> None:
    """Try another group beside a silent one, which may also go on by itself."""
    unsent = sum(not attempt.has_begun for attempt in tries.in_progress)
    if not streams.may_hedge(stream, unsent) or not _is_prompt_trusted(gw, stream):
        return
    choice = _choose_group(gw, stream)
    if choice is not None and _may_send(gw, stream, has_others=True):
        _start_attempt(gw, exchange, stream, tries, choice)


def _is_prompt_trusted(gw: states.Gateway, stream: streams.Stream) -> bool:
    """Whether no part of a stream's prompt is suspected to crash targets."""
    if stream.events >= prompt_suspects.PROVING_EVENTS:
        return True
    return (
        not stream.probed_parts and prompt_blocks.decide(gw, stream.parts).verdict is _Verdict.ADMIT
    )


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
        if head is None or permits.check(gw, head).reason is not None:
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


def _find_wait_end(gw: states.Gateway, stream: streams.Stream) -> float:
    """Return when the stream may be sent to a head that asked to be left alone.

    :returns: infinity unless all heads that serve the model have asked for it.
    """
    serving = group_index.find_serving(
        gw.registry.index,
        stream.request.service,
        stream.constants,
        stream.request.inbound.model,
    )
    found = [permits.check(gw, group.head) for group in serving if group.head is not None]
    if not all(permit.is_binding for permit in found):
        return math.inf
    return permits.find_wait_end(found)


def _choose_failure(gw: states.Gateway, stream: streams.Stream, wait_end: float) -> failure.Failure:
    """Return the failure to answer with when no group is left."""
    reported = stream.reported_failure
    if reported is not None and reported.outcome is not _Outcome.NOT_RUN:
        return reported
    if wait_end < math.inf:
        return permits.make_wait_failure(wait_end)
    return reported or _make_no_group_failure(gw)


def _may_send(gw: states.Gateway, stream: streams.Stream, has_others: bool = False) -> bool:
    if stream.request.account and not gw.may_use_keys():
        return False
    if stream.sends == 0 and not gw.may_begin(stream.request.deadline):
        return False
    if stream.sends + stream.refusals == 0 and not has_others:
        return True
    budget = gw.get_send_budget(stream.request.service)
    if not budget.try_spend(gw.count_entries(), trio.current_time()):
        return False
    gw.metrics.further_sends.inc({"service": stream.request.service})
    return True


def _make_no_group_failure(gw: states.Gateway) -> failure.Failure:
    low, high = NO_GROUP_RETRY_AFTER_SECONDS
    return failure.Failure(
        codes.Code.NO_GROUP,
        "no complete group serves the model",
        retry_after_seconds=gw.rng.uniform(low, high),
    )


def _log_sent(
    gw: states.Gateway,
    stream: streams.Stream,
    group: replica_group.Group,
    in_flight: float,
    beside: int,
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
        beside=beside,
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
