"""Serves one request to a plain service."""

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
MAX_ANSWER_BYTES = 1_000_000
CONNECT_SECONDS = 1.0
RETRY_PAUSE_SECONDS = 0.1

Answer = message.Response | failure.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class _Call:
    """One request on its way to a plain service."""

    service: declaration.Service
    req: message.Request
    caller: authenticated_request.AuthenticatedRequest
    is_idempotent: bool


async def serve(
    view: views.View,
    configuration: in_force.InForce,
    caller: authenticated_request.AuthenticatedRequest,
) -> failure.Failure | None:
    """Answer a request to ``/services/NAME/...``; return the failure that was told, if any."""
    _, _, name, *rest = caller.exchange.request.target.split("/", 3)
    service = configuration.declared.service(name.partition("?")[0])
    if service is None or service.kind is not declaration.ServiceKind.PLAIN:
        return failure.Failure(codes.Code.UNKNOWN_SERVICE, f'no plain service "{name}"')
    req = forwarding.make_request(caller, "/" + (rest[0] if rest else ""))
    call = _Call(service, req, caller, is_idempotent(service, req.method, req.path))
    told: list[failure.Failure] = []

    async def tell(answer: Answer) -> None:
        if isinstance(answer, failure.Failure):
            told.append(answer)
            answer = errors.make_response(answer, caller.request_id)
        else:
            answer.headers.add(forwarding.REQUEST_ID, caller.request_id)
        await caller.exchange.respond(answer)

    async def run() -> Answer:
        return await _run(view, call)

    if caller.idempotency_key and not call.is_idempotent:
        await keyed_request.serve(view, caller, service.name, req, run, tell)
    else:
        await tell(await run())
    return told[0] if told else None


def is_idempotent(service: declaration.Service, method: str, path: str) -> bool:
    """Whether a call is declared as one that may be repeated.

    A path that its target may read as another one, such as ``/search/../orders``, is not.
    """
    if ".." in path or "%" in path or "\\" in path or "//" in path:
        return False
    call = f"{method} {path}"
    return any(
        call.startswith(pattern[:-1]) if pattern.endswith("*") else call == pattern
        for pattern in service.idempotent
    )


async def _run(view: views.View, call: _Call) -> Answer:
    """Send the request to targets until one answers or a repeat is not safe."""
    attempts = execution_tracker.ExecutionTracker(call.is_idempotent)
    tried: set[str] = set()
    told: failure.Failure | None = None
    for _ in range(MAX_TRIES):
        chosen = pick.pick(_candidates(view, call.service, tried), 0, view.rng)
        if chosen is None or trio.current_time() >= call.caller.deadline:
            break
        tried.add(chosen.name)
        answer = await _try(view, call, attempts, chosen)
        if not isinstance(answer, failure.Failure):
            return answer
        told = classify.choose_worse(told, answer)
        if not classify.may_retry(answer, call.is_idempotent):
            break
        await trio.sleep(RETRY_PAUSE_SECONDS)
    if told is None:
        told = _nobody(call.service)
    attempts.check_outcome(told.outcome)
    return told


def _nobody(service: declaration.Service) -> failure.Failure:
    return failure.Failure(
        codes.Code.NO_GROUP,
        f'no target of "{service.name}" is live',
        retry_after_seconds=classify.RETRY_AFTER_SECONDS,
    )


def _candidates(
    view: views.View, service: declaration.Service, tried: set[str]
) -> list[candidates.Candidate]:
    """Return the live targets not yet tried; those that lately failed only when all did."""
    live = {
        one.name: candidates.Candidate(one.name, one.address)
        for one in view.instances.value
        if one.kind is instance.Kind.PLAIN
        and one.service == service.name
        and one.state is instance.State.LIVE
        and one.name not in tried
    }
    preferred = view.plain_health.select_preferred(live, trio.current_time())
    return [found for name, found in live.items() if name in preferred]


async def _try(
    view: views.View,
    call: _Call,
    attempts: execution_tracker.ExecutionTracker,
    chosen: candidates.Candidate,
) -> Answer:
    events.log("request.send", request=call.caller.request_id, instance=chosen.name)
    leaving = {one.name for one in view.instances.value if one.state is instance.State.LEAVING}
    invariant.check(
        invariant.Number.LEAVING_GETS_NOTHING,
        chosen.name not in leaving,
        f"{chosen.name} is leaving and would get a request",
    )
    attempts.begin_try()
    wait = max(0.1, call.caller.deadline - trio.current_time())
    if call.is_idempotent:
        # Leaves time for another target when this one is silent.
        wait /= 2
    where = addresses.parse(chosen.address)
    try:
        response = await round_trip.send(
            view.net, where, call.req, wait, MAX_ANSWER_BYTES, CONNECT_SECONDS
        )
    except transport_error.TransportError as exc:
        attempts.end_try(exc.has_sent_bytes, False)
        view.plain_health.record_failure(chosen.name, trio.current_time())
        return classify.classify_error(exc)
    attempts.end_try(True, classify.is_refusal(response))
    view.plain_health.record_success(chosen.name)
    echoed = response.headers.get(forwarding.REQUEST_ID)
    if echoed and echoed != call.caller.request_id:
        text = f"{chosen.name} answered request {echoed}"
        return failure.Failure(codes.Code.WRONG_ANSWER, text, outcomes.Outcome.UNKNOWN)
    found = classify.classify_response(response)
    return forwarding.filter_response(response) if found is None else found
