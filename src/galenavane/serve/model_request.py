"""Serves one completion request from a replica group."""

from __future__ import annotations

import msgspec
import trio

from galenavane.config import declaration, in_force, settings
from galenavane.entry import view as views
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.net import address as addresses
from galenavane.net import headers as header_lists
from galenavane.net import http_connection, message, transport_error
from galenavane.observe import events
from galenavane.route import candidate as candidates
from galenavane.route import grant as grants
from galenavane.serve import caller as callers
from galenavane.serve import classify, dispatch, sse, stream_state
from galenavane.target import completion

CHARACTERS_PER_TOKEN = 4
CONNECT_SECONDS = 1.0
MAX_TRIES = 5
RETRY_AFTER_SECONDS = 1.0


def list_models(configuration: in_force.InForce) -> message.Response:
    """Return the models that the preset in force runs, OpenAI style."""
    names = sorted({run.model for run in configuration.runs()})
    rows = [{"id": name, "object": "model", "owned_by": "galenavane"} for name in names]
    return message.json_response(200, {"object": "list", "data": rows})


async def serve(
    view: views.View, configuration: in_force.InForce, caller: callers.Caller
) -> failure.Failure | None:
    """Answer a completion; return the failure to tell, or ``None`` when it was answered."""
    try:
        body = msgspec.json.decode(caller.exchange.request.body, type=completion.CompletionRequest)
    except msgspec.DecodeError as exc:
        return failure.Failure(codes.Code.BAD_REQUEST, str(exc))
    model, _, adapter = body.model.partition(":")
    run = _find_run(configuration, model, adapter)
    if run is None:
        text = f'the preset in force runs no model "{body.model}"'
        return failure.Failure(codes.Code.UNKNOWN_MODEL, text)
    ask = _make_ask(configuration, caller, body, run, adapter)
    return await _run(view, caller, stream_state.StreamState(caller.request_id, body), ask)


def _make_ask(
    configuration: in_force.InForce,
    caller: callers.Caller,
    body: completion.CompletionRequest,
    run: declaration.Run,
    adapter: str,
) -> grants.Ask:
    service = configuration.declared.service(run.service)
    assert service is not None
    prompt = body.text()
    return grants.Ask(
        request_id=caller.request_id,
        account=caller.account.name,
        service=run.service,
        model=run.model,
        version=run.version,
        adapter=adapter,
        priority=service.priority,
        prompt=prompt,
        prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN,
        max_tokens=body.max_tokens,
        deadline=caller.deadline,
    )


async def _run(
    view: views.View,
    caller: callers.Caller,
    state: stream_state.StreamState,
    ask: grants.Ask,
) -> failure.Failure | None:
    """Get the answer from one group after another, each going on where the last stopped."""
    last: failure.Failure | None = None
    while state.tries < MAX_TRIES:
        state.begin_try()
        held = await dispatch.acquire(view, ask, state.tried)
        if held.is_error():
            return last or held.error
        failed = await _try_granted(view, caller, state, held.ok)
        if failed is None:
            return None
        events.log("request.retry", request=caller.request_id, group=held.ok.chosen.name)
        state.tried.add(held.ok.chosen.name)
        last = msgspec.structs.replace(failed, retry_after_seconds=RETRY_AFTER_SECONDS)
    return last


async def _try_granted(
    view: views.View,
    caller: callers.Caller,
    state: stream_state.StreamState,
    held: grants.Grant,
) -> failure.Failure | None:
    before = state.delivered
    failed: failure.Failure | None = None
    try:
        failed = await _try(view, caller, state, held.chosen)
        return failed
    finally:
        first = state.first_token_at - held.sent_at if state.delivered > before else None
        _measure(view, state, first, before)
        ended = grants.Ended(first, state.delivered - before, failed is not None)
        dispatch.release(view, held, ended)


def _find_run(configuration: in_force.InForce, model: str, adapter: str) -> declaration.Run | None:
    for run in configuration.runs():
        if run.model == model and (not adapter or adapter in run.adapters):
            return run
    return None


def _measure(
    view: views.View, state: stream_state.StreamState, first: float | None, before: int
) -> None:
    if state.tries > 1:
        view.metrics.retries.inc({})
    if first is None:
        return
    view.metrics.first_token.observe({}, first)
    tokens = state.delivered - before
    if tokens > 1:
        passed = trio.current_time() - state.first_token_at
        view.metrics.between_tokens.observe({}, passed / (tokens - 1))


async def _try(
    view: views.View,
    caller: callers.Caller,
    state: stream_state.StreamState,
    chosen: candidates.Candidate,
) -> failure.Failure | None:
    """Get the rest of the answer from one group."""
    events.log(
        "request.send",
        request=caller.request_id,
        group=chosen.name,
        epoch=chosen.epoch,
        offset=state.delivered,
    )
    try:
        conn = await view.net.dial(addresses.parse(chosen.address), CONNECT_SECONDS)
    except transport_error.TransportError as exc:
        return classify.broken(exc)
    try:
        await conn.send_request(_target_request(caller, state, chosen), chosen.address)
        return await _relay(view, caller, state, conn)
    except transport_error.TransportError as exc:
        if state.caller_gone:
            raise
        return classify.broken(exc)
    finally:
        await conn.close()


def _target_request(
    caller: callers.Caller, state: stream_state.StreamState, chosen: candidates.Candidate
) -> message.Request:
    body = msgspec.structs.replace(state.body, stream=True)
    req = message.json_request("POST", caller.exchange.request.path, body)
    req.headers.add("x-request-id", caller.request_id)
    req.headers.add("x-group", chosen.name).add("x-epoch", str(chosen.epoch))
    req.headers.add("x-resume-offset", str(state.delivered))
    return req


async def _relay(
    view: views.View,
    caller: callers.Caller,
    state: stream_state.StreamState,
    conn: http_connection.HttpConnection,
) -> failure.Failure | None:
    wait = view.cfg.get(settings.FIRST_TOKEN_DEADLINE)
    reader = sse.Reader(conn)
    try:
        with trio.fail_after(wait):
            head = await conn.read_response_head()
        refusal = classify.refused(head)
        if refusal is not None:
            return refusal
        while True:
            with trio.fail_after(wait):
                data = await reader.next_data()
            if data is None:
                text = "the target's stream ended early"
                return failure.Failure(codes.Code.TARGET_LOST, text)
            if data == sse.DONE:
                await _finish(caller, state)
                return None
            await _deliver(caller, state, data)
            wait = view.cfg.get(settings.PROGRESS_DEADLINE)
    except trio.TooSlowError:
        kind = transport_error.Kind.SILENT
        text = f"the target said nothing for {wait} s"
        return classify.broken(transport_error.TransportError(kind, True, text))


async def _deliver(caller: callers.Caller, state: stream_state.StreamState, data: bytes) -> None:
    chunk = msgspec.json.decode(data, type=completion.Chunk)
    if not state.accept(chunk, trio.current_time()):
        return
    if not state.body.stream:
        return
    try:
        if state.delivered == 1:
            fields = header_lists.Headers().add("content-type", "text/event-stream")
            fields.add("x-request-id", caller.request_id)
            await caller.exchange.start_stream(200, fields)
        await caller.exchange.send_chunk(b"data: " + data + b"\n\n")
    except transport_error.TransportError:
        state.caller_gone = True
        raise


async def _finish(caller: callers.Caller, state: stream_state.StreamState) -> None:
    if state.body.stream:
        await caller.exchange.send_chunk(b"data: [DONE]\n\n")
        await caller.exchange.end_stream()
        return
    is_chat = caller.exchange.request.path == "/v1/chat/completions"
    text = "".join(state.texts)
    content = {"message": {"role": "assistant", "content": text}} if is_chat else {"text": text}
    choice = {"index": 0, "finish_reason": "length", **content}
    usage = {"completion_tokens": state.delivered}
    body = {"id": caller.request_id, "choices": [choice], "usage": usage}
    response = message.json_response(200, body)
    response.headers.add("x-request-id", caller.request_id)
    await caller.exchange.respond(response)
