"""Handles clients' HTTP requests, and answers each one that fails with the reason."""

from __future__ import annotations

import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.gateway import admission, model_serving, plain_serving
from galenavane.gateway import state as states
from galenavane.net import connections, disconnect, http_encoding, http_server, transport_error
from galenavane.observe import events, trace_text
from galenavane.serve import errors, inbound_request

_Outcome = outcomes.Outcome
LEAVING_RETRY_AFTER_SECONDS = 0.05
"""Another entry can serve the request at once."""


def make_handler(gw: states.Gateway, conns: connections.Connections) -> http_server.Handler:
    """Return the handler of clients' requests.

    :param conns: their connections; it ends the work on requests before the process is killed.
    """

    async def handle(exchange: http_server.Exchange) -> None:
        gw.active_requests += 1
        gw.last_request_at = trio.current_time()
        try:
            await _serve(gw, exchange, conns)
        finally:
            gw.active_requests -= 1

    return handle


async def _serve(
    gw: states.Gateway, exchange: http_server.Exchange, conns: connections.Connections
) -> None:
    began_at = trio.current_time()
    inbound = gw.codec.decode_request(exchange.request)
    error: failure.Failure | None = failure.Failure(
        codes.Code.TARGET_SILENT,
        "this entry had to stop before the response was complete",
        _Outcome.UNKNOWN,
    )
    with conns.serve():
        error = await _answer_guarded(gw, exchange, inbound, began_at)
    _log_end(gw, inbound, error, trio.current_time() - began_at)
    if error is None or exchange.is_answered or error.code is codes.Code.CALLER_GONE:
        return
    response = errors.make_response(error, inbound.id, accepts_fraction=True)
    if gw.is_closing:
        response.headers.add("connection", "close")
    await exchange.respond(response)


async def _answer_guarded(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    inbound: inbound_request.InboundRequest,
    began_at: float,
) -> failure.Failure | None:
    """Answer a request; only a failure of the client's connection means that it has gone.

    :returns: the failure to answer with, or ``None`` if the request was answered.
    """
    try:
        error = await disconnect.cancel_on_disconnect(
            exchange.conn, _answer, gw, exchange, inbound, began_at
        )
    except disconnect.DisconnectError as exc:
        return failure.Failure(codes.Code.CALLER_GONE, str(exc), _Outcome.UNKNOWN)
    except transport_error.TransportError as exc:
        return failure.Failure(codes.Code.TARGET_LOST, str(exc), _Outcome.UNKNOWN)
    except http_encoding.EncodingError as exc:
        return failure.Failure(codes.Code.INTERNAL, str(exc), _Outcome.UNKNOWN)
    except Exception as exc:
        events.log("request.defect", request=inbound.id, text=trace_text.make(exc))
        text = f"internal error: {type(exc).__name__}"
        return failure.Failure(codes.Code.INTERNAL, text, _Outcome.UNKNOWN)
    if error is None and not exchange.is_answered:
        return failure.Failure(codes.Code.INTERNAL, "there is no answer", _Outcome.UNKNOWN)
    return error


async def _answer(
    gw: states.Gateway,
    exchange: http_server.Exchange,
    inbound: inbound_request.InboundRequest,
    now: float,
) -> failure.Failure | None:
    admitted = admission.admit(gw, inbound, now)
    if admitted.is_error():
        return admitted.error
    if gw.is_closing:
        return failure.Failure(
            codes.Code.LEAVING,
            "this entry is stopping",
            retry_after_seconds=LEAVING_RETRY_AFTER_SECONDS,
        )
    return await _serve_before_deadline(gw, exchange, admitted.ok)


async def _serve_before_deadline(
    gw: states.Gateway, exchange: http_server.Exchange, request: admission.AdmittedRequest
) -> failure.Failure | None:
    gw.get_send_budget(request.service).count_first(request.received_at)
    catalog = gw.config_state.catalog
    service = catalog.services.get(request.service) if catalog is not None else None
    with trio.move_on_at(request.deadline):
        if service is not None and service.engine is not None:
            return await model_serving.serve(gw, exchange, request, service.engine)
        return await plain_serving.serve(gw, exchange, request)
    return failure.Failure(
        codes.Code.TARGET_SILENT,
        "the deadline passed before the response was complete",
        _Outcome.UNKNOWN,
    )


def _log_end(
    gw: states.Gateway,
    inbound: inbound_request.InboundRequest,
    error: failure.Failure | None,
    seconds: float,
) -> None:
    code = error.code.name if error is not None else "ANSWERED"
    outcome = error.outcome.value if error is not None else _Outcome.ANSWERED.value
    events.log(
        "request.end",
        request=inbound.id,
        code=code,
        outcome=outcome,
        seconds=round(seconds, 4),
        version=gw.config_state.version,
        text=error.message if error is not None else "",
    )
    gw.metrics.requests.inc({"code": code, "outcome": outcome})
    gw.metrics.answer_seconds.observe({}, seconds)
