"""Serves requests to plain services, with retries on other targets."""

from __future__ import annotations

import dataclasses

import trio

from galenavane import invariant
from galenavane.config import declaration, in_force
from galenavane.entry import view as views
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.net import address as addresses
from galenavane.net import message, round_trip, transport_error
from galenavane.observe import events
from galenavane.route import candidate as candidates
from galenavane.route import pick
from galenavane.serve import (
    authenticated_request,
    classify,
    errors,
    execution_tracker,
    forwarding,
    keyed_request,
)
from galenavane.store import instance

MAX_TRIES = 3
MAX_RESPONSE_BYTES = 1_000_000
CONNECT_TIMEOUT_SECONDS = 1.0
RETRY_PAUSE_SECONDS = 0.1

Result = message.Response | failure.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class _Call:
    """One request to a plain service, in progress."""

    service: declaration.Service
    req: message.Request
    auth_req: authenticated_request.AuthenticatedRequest
    is_idempotent: bool


async def serve(
    view: views.View,
    configuration: in_force.Configuration,
    auth_req: authenticated_request.AuthenticatedRequest,
) -> failure.Failure | None:
    """Answer a request to ``/services/NAME/...``.

    :returns: the failure that is reported to the caller, or ``None`` for a forwarded response.
    """
    _, _, name, *rest = auth_req.exchange.request.target.split("/", 3)
    service = configuration.declared.find_service(name.partition("?")[0])
    if service is None or service.kind is not declaration.ServiceKind.PLAIN:
        return failure.Failure(codes.Code.UNKNOWN_SERVICE, f'there is no plain service "{name}"')
    req = forwarding.make_request(auth_req, "/" + (rest[0] if rest else ""))
    call = _Call(service, req, auth_req, is_idempotent(service, req.method, req.path))
    reported: list[failure.Failure] = []

    async def respond(result: Result) -> None:
        if isinstance(result, failure.Failure):
            reported.append(result)
            result = errors.make_response(result, auth_req.request_id)
        else:
            result.headers.add(forwarding.REQUEST_ID_HEADER, auth_req.request_id)
        await auth_req.exchange.respond(result)

    async def execute() -> Result:
        return await _send_with_retries(view, call)

    if auth_req.idempotency_key and not call.is_idempotent:
        await keyed_request.serve(view, auth_req, service.name, req, execute, respond)
    else:
        await respond(await execute())
    return reported[0] if reported else None


def is_idempotent(service: declaration.Service, method: str, path: str) -> bool:
    """Return whether the service declares a request as idempotent.

    A path that a target may normalize to another one, such as ``/search/../orders``, is treated
    as not idempotent.
    """
    if ".." in path or "%" in path or "\\" in path or "//" in path:
        return False
    call = f"{method} {path}"
    return any(
        call.startswith(pattern[:-1]) if pattern.endswith("*") else call == pattern
        for pattern in service.idempotent
    )


async def _send_with_retries(view: views.View, call: _Call) -> Result:
    """Send the request to targets until one responds or a retry is not safe."""
    tracker = execution_tracker.ExecutionTracker(call.is_idempotent)
    tried_names: set[str] = set()
    worst_failure: failure.Failure | None = None
    for _ in range(MAX_TRIES):
        candidate = pick.pick(_list_candidates(view, call.service, tried_names), 0, view.rng)
        if candidate is None or trio.current_time() >= call.auth_req.deadline:
            break
        tried_names.add(candidate.name)
        result = await _try_target(view, call, tracker, candidate)
        if not isinstance(result, failure.Failure):
            return result
        worst_failure = classify.choose_worse(worst_failure, result)
        if not classify.may_retry(result, call.is_idempotent):
            break
        await trio.sleep(RETRY_PAUSE_SECONDS)
    if worst_failure is None:
        worst_failure = _make_no_target_failure(call.service)
    tracker.check_outcome(worst_failure.outcome)
    return worst_failure


def _make_no_target_failure(service: declaration.Service) -> failure.Failure:
    return failure.Failure(
        codes.Code.NO_GROUP,
        f'service "{service.name}" has no live target',
        retry_after_seconds=classify.RETRY_AFTER_SECONDS,
    )


def _list_candidates(
    view: views.View, service: declaration.Service, tried_names: set[str]
) -> list[candidates.Candidate]:
    """Return the live targets that were not tried yet.

    Targets with recent failures are included only when all live targets have them.
    """
    live = {
        listed.name: candidates.Candidate(listed.name, listed.address)
        for listed in view.instances.value
        if listed.kind is instance.Kind.PLAIN
        and listed.service == service.name
        and listed.state is instance.State.LIVE
        and listed.name not in tried_names
    }
    preferred = view.plain_health.select_preferred(live, trio.current_time())
    return [candidate for name, candidate in live.items() if name in preferred]


async def _try_target(
    view: views.View,
    call: _Call,
    tracker: execution_tracker.ExecutionTracker,
    candidate: candidates.Candidate,
) -> Result:
    events.log("request.send", request=call.auth_req.request_id, instance=candidate.name)
    leaving_names = {
        listed.name for listed in view.instances.value if listed.state is instance.State.LEAVING
    }
    invariant.check(
        invariant.Number.LEAVING_GETS_NOTHING,
        candidate.name not in leaving_names,
        f"{candidate.name} is leaving but was chosen for a request",
    )
    tracker.begin_try()
    timeout_seconds = max(0.1, call.auth_req.deadline - trio.current_time())
    if call.is_idempotent:
        # Leaves time for another target when this one does not respond.
        timeout_seconds /= 2
    address = addresses.parse(candidate.address)
    try:
        response = await round_trip.send(
            view.net,
            address,
            call.req,
            timeout_seconds,
            MAX_RESPONSE_BYTES,
            CONNECT_TIMEOUT_SECONDS,
        )
    except transport_error.TransportError as exc:
        tracker.end_try(exc.has_sent_bytes, False)
        view.plain_health.record_failure(candidate.name, trio.current_time())
        return classify.classify_error(exc)
    tracker.end_try(True, classify.is_refusal(response))
    view.plain_health.record_success(candidate.name)
    echoed = response.headers.get(forwarding.REQUEST_ID_HEADER)
    if echoed and echoed != call.auth_req.request_id:
        text = f"{candidate.name} responded to request {echoed} instead"
        return failure.Failure(codes.Code.WRONG_ANSWER, text, outcomes.Outcome.UNKNOWN)
    error = classify.classify_response(response)
    return forwarding.filter_response(response) if error is None else error
