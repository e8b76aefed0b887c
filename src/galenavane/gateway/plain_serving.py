"""Serves requests to services without replica groups.

While a target is silent, another one may be tried beside it. The silent one's answer is still
waited for: the first complete answer is sent to the client.
"""

from __future__ import annotations

import functools
import math
from collections import abc

import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.fleet import target
from galenavane.gateway import admission, attempts, permits, plain_attempt, plain_call
from galenavane.gateway import state as states
from galenavane.net import http_server
from galenavane.observe import events
from galenavane.route import target_permit

_Attempts = attempts.Attempts[target.Target]
_Function = attempts.Function[target.Target]


async def serve(
    gw: states.Gateway, exchange: http_server.Exchange, request: admission.AdmittedRequest
) -> failure.Failure | None:
    """Serve a request, and send it to other targets as far as its route allows.

    :returns: the failure to answer with, or ``None`` if the request was answered.
    """
    call = plain_call.PlainCall(request, last_event=request.inbound.last_event_id)
    send = functools.partial(plain_attempt.run, gw, exchange, call)
    return await attempts.serve(functools.partial(_serve_attempts, gw, call, send))


async def _serve_attempts(
    gw: states.Gateway, call: plain_call.PlainCall, send: _Function, tries: _Attempts
) -> failure.Failure | None:
    """Make attempts until one has answered, or all have failed and no other is allowed."""
    while True:
        is_started = tries.is_silent and _start_attempt(gw, call, send, tries)
        if not is_started and not tries.in_progress:
            wait_end = _find_wait_end(gw, call)
            if await permits.wait(gw, wait_end, call.request.deadline):
                continue
            return _choose_failure(gw, call, wait_end)
        for ended in await tries.wait(_choose_wait_seconds(call, tries)):
            if ended.error is not None:
                raise ended.error
            if ended.failure is None:
                return None
            _record_failure(gw, call, ended.destination, ended.failure)
        _note_silences(gw, call, tries)


def _start_attempt(
    gw: states.Gateway, call: plain_call.PlainCall, send: _Function, tries: _Attempts
) -> bool:
    """Try another target if that is allowed and one is left; return whether it is tried."""
    if not _may_start(call, tries) or not plain_attempt.may_begin(gw, call):
        return False
    busy_ids = {attempt.destination.id for attempt in tries.in_progress}
    destination = _choose_target(gw, call.request.service, call.tried_ids | busy_ids)
    if destination is None or not plain_attempt.may_use_account(gw, call.request):
        return False
    if call.sends > 0 and not gw.get_send_budget(call.request.service).try_spend(
        gw.count_entries(), trio.current_time()
    ):
        return False
    events.log(
        "request.sent",
        request=call.request.inbound.id,
        target=destination.id,
        in_flight=gw.target_in_flight.get(destination.id, 0),
        sends=call.sends,
        beside=len(tries.in_progress),
        revision=gw.registry.revision,
    )
    plain_attempt.count(gw, destination)
    tries.start(tries.add(destination), send)
    return True


def _may_start(call: plain_call.PlainCall, tries: _Attempts) -> bool:
    is_under_way = any(attempt.has_begun for attempt in tries.in_progress)
    return plain_call.may_send_again(call, is_under_way)


def _choose_wait_seconds(call: plain_call.PlainCall, tries: _Attempts) -> float:
    """Return after which time another target is looked for, in seconds."""
    is_stuck = tries.is_silent and _may_start(call, tries)
    return attempts.HEDGE_INTERVAL_SECONDS if is_stuck else math.inf


def _choose_target(gw: states.Gateway, service: str, excluded: set[str]) -> target.Target | None:
    found = _check_targets(gw, service, excluded)
    usable = [candidate for candidate, permit in found if not permit.is_binding]
    trusted = [candidate for candidate, permit in found if permit.reason is None] or usable
    if not trusted:
        return None
    return min(
        trusted, key=lambda candidate: (gw.target_in_flight.get(candidate.id, 0), gw.rng.random())
    )


def _check_targets(
    gw: states.Gateway, service: str, excluded: abc.Set[str] = frozenset()
) -> list[tuple[target.Target, target_permit.Permit]]:
    return [
        (candidate, permits.check(gw, candidate))
        for candidate in gw.registry.targets.values()
        if candidate.service == service and candidate.id not in excluded
    ]


def _find_wait_end(gw: states.Gateway, call: plain_call.PlainCall) -> float:
    """Return when the request may be sent to a target that asked to be left alone."""
    if not plain_call.may_send_again(call, is_under_way=False) or not plain_attempt.may_begin(
        gw, call
    ):
        return math.inf
    found = _check_targets(gw, call.request.service, call.tried_ids)
    if not all(permit.is_binding for _, permit in found):
        return math.inf
    return permits.find_wait_end(permit for _, permit in found)


def _choose_failure(
    gw: states.Gateway, call: plain_call.PlainCall, wait_end: float
) -> failure.Failure:
    """Return the failure to answer with when no target is left."""
    reported = call.reported_failure
    if reported is not None and reported.outcome is not outcomes.Outcome.NOT_RUN:
        return reported
    if not plain_attempt.may_begin(gw, call):
        return failure.Failure(
            codes.Code.LEAVING,
            "this entry is stopping before the response is due",
            retry_after_seconds=plain_attempt.RETRY_AFTER_SECONDS,
        )
    found = [permit for _, permit in _check_targets(gw, call.request.service)]
    if found and all(permit.is_binding for permit in found):
        wait_end = min(wait_end, permits.find_wait_end(found))
        if wait_end < math.inf:
            return permits.make_wait_failure(wait_end)
    return reported or _make_no_target_failure(target_permit.describe(found))


def _make_no_target_failure(reasons: str) -> failure.Failure:
    return failure.Failure(
        codes.Code.TARGET_UNREACHABLE,
        f"no target of the service is available ({reasons or 'none is left'})",
        retry_after_seconds=plain_attempt.RETRY_AFTER_SECONDS,
    )


def _record_failure(
    gw: states.Gateway,
    call: plain_call.PlainCall,
    destination: target.Target,
    send_failure: failure.Failure,
) -> None:
    call.tried_ids.add(destination.id)
    plain_call.record_failure(call, send_failure)
    events.log(
        "request.send_failed",
        request=call.request.inbound.id,
        target=destination.id,
        revision=gw.registry.revision,
        code=send_failure.code.name,
        outcome=send_failure.outcome.value,
        text=send_failure.message,
    )


def _note_silences(gw: states.Gateway, call: plain_call.PlainCall, tries: _Attempts) -> None:
    """Avoid targets that have turned silent after the request was sent to them."""
    for attempt in tries.in_progress:
        target_id = attempt.destination.id
        if not (attempt.is_silent and attempt.has_begun) or target_id in call.silent_ids:
            continue
        call.silent_ids.add(target_id)
        gw.suspect(target_id, plain_attempt.SUSPECT_SECONDS)
        events.log("request.silent", request=call.request.inbound.id, target=target_id)
