"""Handles callers' HTTP requests: health checks, authentication and dispatch by path."""

from __future__ import annotations

import trio

from galenavane import invariant
from galenavane.entry import view as views
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.net import disconnect, http_server, message
from galenavane.observe import events
from galenavane.serve import authenticated_request, errors, model_request, plain_request

_COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")
_SERVICES_PREFIX = "/services/"
RETRY_AFTER_SECONDS = 1.0


def make_handler(view: views.View) -> http_server.Handler:
    """Return the HTTP handler for callers' requests."""

    async def handle(exchange: http_server.Exchange) -> None:
        if exchange.request.path in ("/healthz", "/readyz"):
            await exchange.respond(_make_health_response(view, exchange.request.path))
            return
        view.active_requests.publish(view.active_requests.value + 1)
        try:
            await _handle_request(view, exchange)
        finally:
            view.active_requests.publish(view.active_requests.value - 1)

    return handle


def _make_health_response(view: views.View, path: str) -> message.Response:
    is_ready = view.configuration.value is not None and not view.is_leaving.value
    if path == "/healthz" or is_ready:
        return message.json_response(200, {"status": "ok"})
    return message.json_response(503, {"status": "not ready"})


async def _handle_request(view: views.View, exchange: http_server.Exchange) -> None:
    request_id = view.new_id()
    events.log("request.begin", request=request_id, path=exchange.request.path)
    try:
        error = await _answer_guarded(view, exchange, request_id)
        _log_end(view, request_id, error)
        if error is None or error.code is codes.Code.CALLER_GONE:
            return
        if not exchange.is_answered:
            response = errors.make_response(error, request_id)
            if view.is_leaving.value:
                response.headers.add("connection", "close")
            await exchange.respond(response)
    except disconnect.DisconnectError:
        events.log("request.end", request=request_id, code="caller_gone")
        _count_request(view, "caller_gone", "unknown")


def _log_end(view: views.View, request_id: str, error: failure.Failure | None) -> None:
    if error is None:
        events.log("request.end", request=request_id, code="answered")
        _count_request(view, "answered", outcomes.Outcome.ANSWERED.value)
        return
    events.log("request.end", request=request_id, code=error.code.name, outcome=error.outcome.value)
    _count_request(view, error.code.name.lower(), error.outcome.value)


async def _answer_guarded(
    view: views.View, exchange: http_server.Exchange, request_id: str
) -> failure.Failure | None:
    """Answer a request; an unexpected exception fails this request and not the process.

    :returns: the failure to report, or ``None`` when the request was answered.
    :raises DisconnectError: when the caller disconnected.
    """
    try:
        return await _answer_request(view, exchange, request_id)
    except disconnect.DisconnectError:
        raise
    except invariant.ViolationError as exc:
        is_wrong_answer = exc.number is invariant.Number.OWN_ANSWER
        code = codes.Code.WRONG_ANSWER if is_wrong_answer else codes.Code.INTERNAL
        return failure.Failure(code, str(exc), outcomes.Outcome.UNKNOWN)
    except Exception as exc:
        events.log("request.defect", request=request_id, text=repr(exc))
        text = f"internal error: {type(exc).__name__}"
        return failure.Failure(codes.Code.INTERNAL, text, outcomes.Outcome.UNKNOWN)


def _count_request(view: views.View, code: str, outcome: str) -> None:
    view.metrics.requests.inc({"code": code, "outcome": outcome})


async def _answer_request(
    view: views.View, exchange: http_server.Exchange, request_id: str
) -> failure.Failure | None:
    """Answer a request.

    :returns: the failure to report, or ``None`` when the request was answered.
    """
    if view.is_leaving.value:
        text = "this entry is stopping"
        return failure.Failure(codes.Code.LEAVING, text, retry_after_seconds=RETRY_AFTER_SECONDS)
    configuration = view.configuration.value
    if configuration is None:
        text = "this entry has not received a configuration yet"
        return failure.Failure(
            codes.Code.NO_CONFIGURATION, text, retry_after_seconds=RETRY_AFTER_SECONDS
        )
    authenticated = authenticated_request.authenticate(
        exchange, configuration.declared, request_id, trio.current_time()
    )
    if authenticated.is_error():
        return authenticated.error
    req = exchange.request
    if req.path == "/v1/models" and req.method == "GET":
        await exchange.respond(model_request.list_models(configuration))
        return None
    if req.path in _COMPLETION_PATHS and req.method == "POST":
        return await model_request.serve(view, configuration, authenticated.ok)
    if req.path.startswith(_SERVICES_PREFIX):
        return await plain_request.serve(view, configuration, authenticated.ok)
    return failure.Failure(codes.Code.NO_SUCH_PATH, f'no handler for "{req.method} {req.path}"')
