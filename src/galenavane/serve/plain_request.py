"""Serves one request to a plain service."""

from __future__ import annotations

import msgspec
import trio

from galenavane.config import declaration, in_force
from galenavane.entry import view as views
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.net import address as addresses
from galenavane.net import headers as header_lists
from galenavane.net import message, round_trip, transport_error
from galenavane.observe import events
from galenavane.platform import instance
from galenavane.route import candidate as candidates
from galenavane.route import pick
from galenavane.serve import caller as callers
from galenavane.serve import claim as claims
from galenavane.serve import classify
from galenavane.serve import record as records

MAX_TRIES = 3
MAX_ANSWER_BYTES = 1_000_000
RETRY_PAUSE_SECONDS = 0.1
HOP_BY_HOP = frozenset(
    {
        b"authorization",
        b"connection",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-request-id",
    }
)

Answer = message.Response | failure.Failure


async def serve(
    view: views.View, configuration: in_force.InForce, caller: callers.Caller
) -> failure.Failure | None:
    """Answer a request to ``/services/NAME/...``; return the failure to tell, if any."""
    _, _, name, *rest = caller.exchange.request.target.split("/", 3)
    service = configuration.declared.service(name)
    if service is None or service.kind is not declaration.ServiceKind.PLAIN:
        return failure.Failure(codes.Code.UNKNOWN_SERVICE, f'no plain service "{name}"')
    target = "/" + (rest[0] if rest else "")
    req = _target_request(caller, target)
    if is_idempotent(service, req.method, req.path):
        answer = await _run(view, service, req, caller, True)
    elif caller.idempotency_key:
        answer = await _run_keyed(view, service, req, caller)
    else:
        answer = await _run(view, service, req, caller, False)
    if isinstance(answer, failure.Failure):
        return answer
    answer.headers = answer.headers.without(HOP_BY_HOP).add("x-request-id", caller.request_id)
    await caller.exchange.respond(answer)
    return None


def is_idempotent(service: declaration.Service, method: str, path: str) -> bool:
    """Whether a call is declared as one that may be repeated."""
    call = f"{method} {path}"
    return any(
        call.startswith(pattern[:-1]) if pattern.endswith("*") else call == pattern
        for pattern in service.idempotent
    )


def _target_request(caller: callers.Caller, target: str) -> message.Request:
    req = caller.exchange.request
    fields = req.headers.without(HOP_BY_HOP)
    fields.add("x-request-id", caller.request_id)
    fields.add("x-account", caller.account.name)
    return message.Request(req.method, target, fields, req.body)


async def _run_keyed(
    view: views.View,
    service: declaration.Service,
    req: message.Request,
    caller: callers.Caller,
) -> Answer:
    key = records.key(caller.account.name, service.name, caller.idempotency_key)
    wanted = records.Record(
        body_hash=records.hash_request(req.method, req.target, req.body),
        attempt=view.new_id(),
        phase=records.Phase.STARTED,
        started_at=events.wall_seconds(),
    )
    claimed = await claims.claim(view.platform, key, wanted)
    if claimed.is_error():
        return claimed.error
    held = claimed.ok
    if isinstance(held, records.Record):
        return _repeat(held)
    answer = await _run(view, service, req, caller, False)
    await _close(view, held, answer)
    return answer


def _repeat(earlier: records.Record) -> Answer:
    if earlier.phase is not records.Phase.ANSWERED:
        return claims.explain(earlier)
    fields = header_lists.Headers().add("content-type", earlier.content_type)
    fields.add("idempotent-replay", "true")
    return message.Response(earlier.status, fields, earlier.body.encode("latin-1"))


async def _close(view: views.View, held: claims.Claim, answer: Answer) -> None:
    if isinstance(answer, message.Response):
        ended = msgspec.structs.replace(
            held.record,
            phase=records.Phase.ANSWERED,
            status=answer.status,
            content_type=answer.headers.get("content-type"),
            body=answer.body[: records.MAX_RECORDED_BODY_BYTES].decode("latin-1"),
        )
        await claims.close(view.platform, held, ended)
    elif answer.outcome is outcomes.Outcome.NOT_RUN:
        await claims.give_back(view.platform, held)
    else:
        ended = msgspec.structs.replace(held.record, phase=records.Phase.UNKNOWN)
        await claims.close(view.platform, held, ended)


async def _run(
    view: views.View,
    service: declaration.Service,
    req: message.Request,
    caller: callers.Caller,
    may_repeat: bool,
) -> Answer:
    """Send the request to targets until one answers or a repeat is not safe."""
    tried: set[str] = set()
    last = failure.Failure(codes.Code.NO_GROUP, f'no target of "{service.name}" is live')
    for _ in range(MAX_TRIES):
        chosen = pick.pick(_candidates(view, service, tried), 0, view.rng)
        if chosen is None:
            break
        tried.add(chosen.name)
        answer = await _try(view, caller, chosen, req)
        if not isinstance(answer, failure.Failure):
            return answer
        last = answer
        if not classify.may_retry(answer, may_repeat) or trio.current_time() >= caller.deadline:
            break
        await trio.sleep(RETRY_PAUSE_SECONDS)
    return last


def _candidates(
    view: views.View, service: declaration.Service, tried: set[str]
) -> list[candidates.Candidate]:
    return [
        candidates.Candidate(one.name, one.address)
        for one in view.instances.value
        if one.kind is instance.Kind.PLAIN
        and one.service == service.name
        and one.state is instance.State.LIVE
        and one.name not in tried
    ]


async def _try(
    view: views.View, caller: callers.Caller, chosen: candidates.Candidate, req: message.Request
) -> Answer:
    events.log("request.send", request=caller.request_id, instance=chosen.name)
    wait = max(0.1, caller.deadline - trio.current_time())
    where = addresses.parse(chosen.address)
    try:
        response = await round_trip.send(view.net, where, req, wait, MAX_ANSWER_BYTES)
    except transport_error.TransportError as exc:
        return classify.broken(exc)
    found = classify.refused(response)
    return response if found is None else found
