"""Serves requests to services without replica groups."""

from __future__ import annotations

import trio

from galenavane.catalog import route
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.fleet import target
from galenavane.gateway import admission, target_exchange
from galenavane.gateway import state as states
from galenavane.net import headers as header_lists
from galenavane.net import http_server, message, transport_error
from galenavane.observe import events
from galenavane.serve import inbound_request, target_response

ATTEMPT_TIMEOUT_SHARE = 0.45
"""Share of the remaining time after which an idempotent request is sent to another target."""
SUSPECT_SECONDS = 1.5
RETRY_AFTER_SECONDS = 0.1
"""Targets without replica groups have capacity again within tens of milliseconds."""
_Outcome = outcomes.Outcome


async def serve(
    gw: states.Gateway, exchange: http_server.Exchange, request: admission.AdmittedRequest
) -> failure.Failure | None:
    """Serve a request, and send it to other targets as far as its route allows.

    :returns: the failure to answer with, or ``None`` if the request was answered.
    """
    tried_ids: set[str] = set()
    sends = 0
    reported_failure: failure.Failure | None = None
    while True:
        destination = _choose_target(gw, request.service, tried_ids)
        if destination is None:
            return reported_failure or _make_no_target_failure()
        if sends > 0 and not gw.get_send_budget(request.service).try_spend(
            gw.count_entries(), trio.current_time()
        ):
            return reported_failure
        tried_ids.add(destination.id)
        if not _may_use_account(gw, request):
            return reported_failure or _make_no_target_failure()
        send_failure = await _send_to_target(gw, exchange, request, destination, sends)
        if send_failure is None:
            return None
        if send_failure.code is not codes.Code.TARGET_UNREACHABLE:
            sends += 1
        reported_failure = _choose_failure(reported_failure, send_failure)
        may_repeat = request.route.is_retryable or send_failure.outcome is _Outcome.NOT_RUN
        if not may_repeat or sends >= request.route.max_sends:
            return reported_failure


def _may_use_account(gw: states.Gateway, request: admission.AdmittedRequest) -> bool:
    return not request.account or gw.may_use_keys()


def _make_no_target_failure() -> failure.Failure:
    return failure.Failure(
        codes.Code.TARGET_UNREACHABLE,
        "no target of the service is available",
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _choose_failure(earlier: failure.Failure | None, later: failure.Failure) -> failure.Failure:
    """Return the failure to report: the earlier one if its target may have run the request."""
    if earlier is not None and earlier.outcome is not _Outcome.NOT_RUN:
        return earlier
    return later


def _choose_target(gw: states.Gateway, service: str, tried_ids: set[str]) -> target.Target | None:
    usable = [
        candidate
        for candidate in gw.registry.targets.values()
        if candidate.service == service
        and not candidate.is_leaving
        and candidate.id not in tried_ids
    ]
    trusted = [candidate for candidate in usable if not gw.is_suspect(candidate.id)] or usable
    if not trusted:
        return None
    return min(
        trusted, key=lambda candidate: (gw.target_in_flight.get(candidate.id, 0), gw.rng.random())
    )


async def _send_to_target(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    request: admission.AdmittedRequest,
    destination: target.Target,
    sends: int,
) -> failure.Failure | None:
    gw.target_in_flight[destination.id] = gw.target_in_flight.get(destination.id, 0) + 1
    events.log(
        "request.sent",
        request=request.inbound.id,
        target=destination.id,
        in_flight=gw.target_in_flight[destination.id] - 1,
        sends=sends,
        revision=gw.registry.revision,
    )
    try:
        send_failure = await _run_attempt(gw, exchange, request, destination, sends)
    finally:
        gw.target_in_flight[destination.id] -= 1
    if send_failure is not None:
        events.log(
            "request.send_failed",
            request=request.inbound.id,
            target=destination.id,
            revision=gw.registry.revision,
            code=send_failure.code.name,
            outcome=send_failure.outcome.value,
            text=send_failure.message,
        )
    return send_failure


async def _run_attempt(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    request: admission.AdmittedRequest,
    destination: target.Target,
    sends: int,
) -> failure.Failure | None:
    try:
        target_conn = await target_exchange.connect(gw, destination, request.inbound)
    except transport_error.TransportError as exc:
        gw.suspect(destination.id, SUSPECT_SECONDS)
        return failure.Failure(
            codes.Code.TARGET_UNREACHABLE, str(exc), retry_after_seconds=RETRY_AFTER_SECONDS
        )
    try:
        seconds_left = request.deadline - trio.current_time()
        is_last = sends + 1 >= request.route.max_sends or not request.route.is_retryable
        timeout_seconds = (
            seconds_left
            if is_last
            else max(seconds_left * ATTEMPT_TIMEOUT_SHARE, request.route.latency_target_seconds)
        )
        options = inbound_request.SendOptions(destination.id, request.account, seconds_left, 0)
        with trio.move_on_after(timeout_seconds):
            response = await target_conn.send(options)
            body = await target_conn.read_body()
            return await _forward_response(
                gw, exchange, request, destination, response, body, is_last
            )
        gw.suspect(destination.id, SUSPECT_SECONDS)
        return failure.Failure(
            codes.Code.TARGET_SILENT,
            f"no response within {timeout_seconds:.3f} s",
            _Outcome.UNKNOWN,
        )
    except transport_error.TransportError as exc:
        target_exchange.note_failure(gw, destination, exc)
        return failure.Failure(codes.Code.TARGET_LOST, str(exc), _Outcome.UNKNOWN)
    finally:
        await target_conn.close()


async def _forward_response(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    request: admission.AdmittedRequest,
    destination: target.Target,
    response: target_response.TargetResponse,
    body: bytes,
    is_last: bool,
) -> failure.Failure | None:
    """Send a complete response to the client, unless another target may give a better one."""
    if not response.matches_request:
        return failure.Failure(
            codes.Code.WRONG_ANSWER, "the response belongs to another request", _Outcome.UNKNOWN
        )
    if response.is_not_run:
        if response.status == 421:
            gw.suspect(destination.id, SUSPECT_SECONDS)
        return failure.Failure(
            codes.Code.TARGET_REFUSED,
            f"status {response.status}",
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
    if response.status < 300 and not response.is_signed:
        return failure.Failure(
            codes.Code.TARGET_FAILED, "the response is not signed", _Outcome.FAILED
        )
    is_failed = response.status >= 500
    is_idempotent = request.route.kind is route.Kind.IDEMPOTENT
    if is_failed and is_idempotent and not is_last:
        return failure.Failure(
            codes.Code.TARGET_FAILED, f"status {response.status}", _Outcome.FAILED
        )
    if response.status in (408, 429, 503):
        # These statuses promise that the request was not run, but the target doesn't say that.
        return failure.Failure(
            codes.Code.TARGET_FAILED, f"status {response.status}", _Outcome.UNKNOWN
        )
    fields = header_lists.Headers(response.headers.pairs)
    if gw.is_closing:
        fields.add("connection", "close")
    await exchange.respond(message.Response(response.status, fields, body))
    return None
