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
from galenavane.net import http_server, message, transport_error
from galenavane.observe import events
from galenavane.serve import call as calls
from galenavane.serve import target_answer

ATTEMPT_TIMEOUT_SHARE = 0.45
"""Part of the time left after which an idempotent request is sent to another target."""
SUSPECT_SECONDS = 1.5
RETRY_AFTER_SECONDS = 0.1
"""Plain targets free a place within tens of milliseconds."""
_Outcome = outcomes.Outcome


async def serve(
    gw: states.Gateway, exchange: http_server.Exchange, found: admission.AdmittedRequest
) -> failure.Failure | None:
    """Answer a request; return the failure to tell, or ``None`` when it was answered."""
    tried: set[str] = set()
    sends = 0
    worst: failure.Failure | None = None
    while True:
        to = _choose_target(gw, found.service, tried)
        if to is None:
            return worst or _make_no_target_failure()
        if sends > 0 and not gw.get_send_budget(found.service).spend(
            gw.count_entries(), trio.current_time()
        ):
            return worst
        tried.add(to.id)
        if not _may_use_account(gw, found):
            return worst or _make_no_target_failure()
        sent = await _send_to_target(gw, exchange, found, to, sends)
        if sent is None:
            return None
        if sent.code is not codes.Code.TARGET_UNREACHABLE:
            sends += 1
        worst = _choose_failure(worst, sent)
        may_repeat = found.route.may_repeat or sent.outcome is _Outcome.NOT_RUN
        if not may_repeat or sends >= found.route.max_sends:
            return worst


def _may_use_account(gw: states.Gateway, found: admission.AdmittedRequest) -> bool:
    return not found.account or gw.may_use_keys()


def _make_no_target_failure() -> failure.Failure:
    return failure.Failure(
        codes.Code.TARGET_UNREACHABLE,
        "no target of the service can be used",
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _choose_failure(earlier: failure.Failure | None, later: failure.Failure) -> failure.Failure:
    """Return the failure that is told: the one that may have run the request."""
    if earlier is not None and earlier.outcome is not _Outcome.NOT_RUN:
        return earlier
    return later


def _choose_target(gw: states.Gateway, service: str, tried: set[str]) -> target.Target | None:
    usable = [
        one
        for one in gw.registry.targets.values()
        if one.service == service and not one.is_leaving and one.id not in tried
    ]
    trusted = [one for one in usable if not gw.is_suspect(one.id)] or usable
    if not trusted:
        return None
    return min(trusted, key=lambda one: (gw.target_in_flight.get(one.id, 0), gw.rng.random()))


async def _send_to_target(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    found: admission.AdmittedRequest,
    to: target.Target,
    sends: int,
) -> failure.Failure | None:
    gw.target_in_flight[to.id] = gw.target_in_flight.get(to.id, 0) + 1
    events.log(
        "request.sent",
        request=found.call.id,
        target=to.id,
        in_flight=gw.target_in_flight[to.id] - 1,
        sends=sends,
        revision=gw.registry.revision,
    )
    try:
        result = await _run_attempt(gw, exchange, found, to, sends)
    finally:
        gw.target_in_flight[to.id] -= 1
    if result is not None:
        events.log(
            "request.send_failed",
            request=found.call.id,
            target=to.id,
            revision=gw.registry.revision,
            code=result.code.name,
            outcome=result.outcome.value,
            text=result.message,
        )
    return result


async def _run_attempt(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    found: admission.AdmittedRequest,
    to: target.Target,
    sends: int,
) -> failure.Failure | None:
    try:
        link = await target_exchange.connect(gw, to, found.call)
    except transport_error.TransportError as exc:
        gw.suspect(to.id, SUSPECT_SECONDS)
        return failure.Failure(
            codes.Code.TARGET_UNREACHABLE, str(exc), retry_after_seconds=RETRY_AFTER_SECONDS
        )
    try:
        left = found.deadline - trio.current_time()
        is_last = sends + 1 >= found.route.max_sends or not found.route.may_repeat
        limit = (
            left
            if is_last
            else max(left * ATTEMPT_TIMEOUT_SHARE, found.route.latency_target_seconds)
        )
        send = calls.Send(to.id, found.account, left, 0)
        with trio.move_on_after(limit):
            head = await link.send(send)
            body = await link.read_body()
            return await _forward_answer(gw, exchange, found, to, head, body, is_last)
        gw.suspect(to.id, SUSPECT_SECONDS)
        return failure.Failure(
            codes.Code.TARGET_SILENT, f"no answer in {limit:.3f} s", _Outcome.UNKNOWN
        )
    except transport_error.TransportError as exc:
        return failure.Failure(codes.Code.TARGET_LOST, str(exc), _Outcome.UNKNOWN)
    finally:
        await link.close()


async def _forward_answer(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    found: admission.AdmittedRequest,
    to: target.Target,
    head: target_answer.TargetAnswer,
    body: bytes,
    is_last: bool,
) -> failure.Failure | None:
    """Give the client a whole answer, unless another target may do better."""
    if not head.is_own:
        return failure.Failure(
            codes.Code.WRONG_ANSWER, "the answer is to another request", _Outcome.UNKNOWN
        )
    if head.is_not_run:
        if head.status == 421:
            gw.suspect(to.id, SUSPECT_SECONDS)
        return failure.Failure(
            codes.Code.TARGET_REFUSED,
            f"status {head.status}",
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
    if head.status < 300 and not head.is_signed:
        return failure.Failure(
            codes.Code.TARGET_FAILED, "the answer is not signed", _Outcome.FAILED
        )
    is_failed = head.status >= 500
    is_idempotent = found.route.kind is route.Kind.IDEMPOTENT
    if is_failed and is_idempotent and not is_last:
        return failure.Failure(codes.Code.TARGET_FAILED, f"status {head.status}", _Outcome.FAILED)
    if head.status in (408, 429, 503):
        # These would promise that the request was not run, which the target does not say.
        return failure.Failure(codes.Code.TARGET_FAILED, f"status {head.status}", _Outcome.UNKNOWN)
    fields = target_exchange.make_client_headers(head)
    if gw.is_closing:
        fields.add("connection", "close")
    await exchange.respond(message.Response(head.status, fields, body))
    return None
