"""Serves completion requests: validates them and sends the completion or the error."""

from __future__ import annotations

import expression

from galenavane import invariant
from galenavane.config import declaration, in_force, settings
from galenavane.entry import view as views
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.net import disconnect, message
from galenavane.net import headers as header_lists
from galenavane.observe import events
from galenavane.route import grant as grants
from galenavane.serve import (
    authenticated_request,
    completion_body,
    errors,
    model_stream,
    resume_token,
    stream_state,
)
from galenavane.target import completion

CHARACTERS_PER_TOKEN = 4
RESUME_TOKEN_HEADER = "x-resume-token"
RESUME_OFFSET_HEADER = "x-resume-offset"
CHAT_PATH = "/v1/chat/completions"
_END_EVENT = b"data: [DONE]\n\n"


def list_models(configuration: in_force.Configuration) -> message.Response:
    """Return the models of the active preset in the format of the OpenAI API."""
    names = sorted({run.model for run in configuration.list_runs()})
    rows = [{"id": name, "object": "model", "owned_by": "galenavane"} for name in names]
    return message.json_response(200, {"object": "list", "data": rows})


async def serve(
    view: views.View,
    configuration: in_force.Configuration,
    auth_req: authenticated_request.AuthenticatedRequest,
) -> failure.Failure | None:
    """Answer a completion request.

    :returns: the failure to report, or ``None`` when the request was answered.
    """
    parsed = completion_body.parse(auth_req.exchange.request.body)
    if parsed.is_error():
        return parsed.error
    body = parsed.ok
    model, _, adapter = body.request.model.partition(":")
    run = _find_run(configuration, model, adapter)
    if run is None:
        text = f'the active preset does not run model "{body.request.model}"'
        return failure.Failure(codes.Code.UNKNOWN_MODEL, text)
    state_result = _make_stream_state(view, auth_req, body, run)
    if state_result.is_error():
        return state_result.error
    routing_req = _make_routing_request(configuration, auth_req, body.request, run, adapter)
    stream = model_stream.ModelStream(
        auth_req,
        body,
        state_result.ok,
        routing_req,
        _make_stream_headers(view, auth_req, body, run, state_result.ok.request_id),
    )
    return await _answer_stream(view, stream)


async def _answer_stream(
    view: views.View, stream: model_stream.ModelStream
) -> failure.Failure | None:
    try:
        error = await model_stream.run(view, stream)
        if error is None:
            await _finish_response(stream)
    except disconnect.DisconnectError:
        text = "the caller closed the connection"
        return failure.Failure(codes.Code.CALLER_GONE, text, outcomes.Outcome.UNKNOWN)
    except invariant.ViolationError as exc:
        error = failure.Failure(codes.Code.WRONG_ANSWER, str(exc), outcomes.Outcome.UNKNOWN)
    if error is not None and stream.auth_req.exchange.is_answered:
        await _send_error_event(stream.auth_req, error)
    return error


def _make_stream_state(
    view: views.View,
    auth_req: authenticated_request.AuthenticatedRequest,
    body: completion_body.CompletionBody,
    run: declaration.Run,
) -> expression.Result[stream_state.StreamState, failure.Failure]:
    """Return the state of a new stream, or of one that another entry started.

    :returns: the state, or the failure ``BAD_RESUME_TOKEN``.
    """
    headers = auth_req.exchange.request.headers
    text = headers.get(RESUME_TOKEN_HEADER)
    if not text:
        return expression.Ok(stream_state.StreamState(auth_req.request_id))
    key = view.cfg.get(settings.RESUME_KEY)
    verified = resume_token.verify(key, text, events.wall_seconds())
    if verified.is_error():
        return expression.Error(verified.error)
    token = verified.ok
    offset = headers.get(RESUME_OFFSET_HEADER)
    problem = _find_mismatch(token, auth_req, body, run, offset)
    if problem:
        return expression.Error(failure.Failure(codes.Code.BAD_RESUME_TOKEN, problem))
    events.log("request.resume", request=auth_req.request_id, began_as=token.request_id)
    return expression.Ok(stream_state.StreamState(token.request_id, int(offset)))


def _find_mismatch(
    token: resume_token.ResumeToken,
    auth_req: authenticated_request.AuthenticatedRequest,
    body: completion_body.CompletionBody,
    run: declaration.Run,
    offset: str,
) -> str:
    """Return why a resume token does not match the request; empty when it does."""
    if token.account != auth_req.account.name:
        return "the resume token was issued to another account"
    if token.body_hash != body.hash_request(auth_req.exchange.request.path):
        return "the resume token was issued for another request"
    if token.version != run.version:
        return f"the stream started with version {token.version}, which is no longer running"
    if not body.request.stream or not offset.isdigit() or int(offset) > body.request.max_tokens:
        return f"resuming requires stream=true and {RESUME_OFFSET_HEADER} of at most max_tokens"
    return ""


def _make_stream_headers(
    view: views.View,
    auth_req: authenticated_request.AuthenticatedRequest,
    body: completion_body.CompletionBody,
    run: declaration.Run,
    stream_id: str,
) -> header_lists.Headers:
    """Return the header fields of a streamed response.

    :param stream_id: id in the resume token; stays the same when the stream is resumed.
    """
    fields = header_lists.Headers().add("content-type", "text/event-stream")
    fields.add("cache-control", "no-store").add("x-request-id", auth_req.request_id)
    key = view.cfg.get(settings.RESUME_KEY)
    if key:
        token = resume_token.ResumeToken(
            stream_id,
            auth_req.account.name,
            run.version,
            body.hash_request(auth_req.exchange.request.path),
            events.wall_seconds() + resume_token.LIFETIME_SECONDS,
        )
        fields.add(RESUME_TOKEN_HEADER, resume_token.sign(key, token))
    return fields


def _make_routing_request(
    configuration: in_force.Configuration,
    auth_req: authenticated_request.AuthenticatedRequest,
    request: completion.CompletionRequest,
    run: declaration.Run,
    adapter: str,
) -> grants.RoutingRequest:
    service = configuration.declared.find_service(run.service)
    assert service is not None
    prompt = request.prompt_text()
    return grants.RoutingRequest(
        request_id=auth_req.request_id,
        account=auth_req.account.name,
        service=run.service,
        model=run.model,
        version=run.version,
        adapter=adapter,
        priority=_choose_priority(service, auth_req),
        prompt=prompt,
        prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN,
        max_tokens=request.max_tokens,
        deadline=auth_req.deadline,
    )


def _choose_priority(
    service: declaration.Service, auth_req: authenticated_request.AuthenticatedRequest
) -> int:
    """Return the priority class of a request; 0 is the most urgent.

    It is the service's class, or a less urgent one that the caller requests.
    """
    requested_priority = auth_req.exchange.request.headers.get(
        authenticated_request.PRIORITY_HEADER
    )
    if not requested_priority.isdigit():
        return service.priority
    return max(
        service.priority, min(int(requested_priority), authenticated_request.LOWEST_PRIORITY)
    )


def _find_run(
    configuration: in_force.Configuration, model: str, adapter: str
) -> declaration.Run | None:
    for run in configuration.list_runs():
        if run.model == model and (not adapter or adapter in run.adapters):
            return run
    return None


async def _finish_response(stream: model_stream.ModelStream) -> None:
    auth_req, state = stream.auth_req, stream.state
    if stream.body.request.stream:
        if not auth_req.exchange.is_answered:
            await auth_req.exchange.start_stream(200, stream.head)
        await auth_req.exchange.end_stream(_END_EVENT)
        return
    is_chat = auth_req.exchange.request.path == CHAT_PATH
    text = "".join(state.token_texts)
    usage = state.usage or completion.Usage(
        stream.routing_req.prompt_tokens,
        state.delivered_tokens,
        stream.routing_req.prompt_tokens + state.delivered_tokens,
    )
    answer = completion.CompletionResponse(
        id=auth_req.request_id,
        object="chat.completion" if is_chat else "text_completion",
        created=int(events.wall_seconds()),
        model=stream.body.request.model,
        choices=_make_choices(text, is_chat, state.finish_reason or "length"),
        usage=usage,
    )
    response = message.json_response(200, answer)
    response.headers.add("x-request-id", auth_req.request_id)
    await auth_req.exchange.respond(response)


def _make_choices(
    text: str, is_chat: bool, reason: str
) -> list[completion.ChatChoice] | list[completion.TextChoice]:
    if is_chat:
        return [completion.ChatChoice(completion.ChatMessage("assistant", text), reason)]
    return [completion.TextChoice(text, reason)]


async def _send_error_event(
    auth_req: authenticated_request.AuthenticatedRequest, error: failure.Failure
) -> None:
    """Report a failure in a stream that has started: an error event instead of ``[DONE]``."""
    body = errors.make_response(error, auth_req.request_id).body
    await auth_req.exchange.end_stream(b"data: " + body + b"\n\n")
