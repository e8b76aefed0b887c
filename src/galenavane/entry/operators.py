"""HTTP handler of an entry for operators: status, generation and metrics."""

from __future__ import annotations

from galenavane.entry import configuration_status, status
from galenavane.entry import view as views
from galenavane.net import headers as header_lists
from galenavane.net import http_server, message
from galenavane.observe import metrics

_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def make_handler(view: views.View) -> http_server.Handler:
    """Return the handler for operators' requests."""

    async def handle(exchange: http_server.Exchange) -> None:
        await exchange.respond(_respond(view, exchange.request))

    return handle


def _respond(view: views.View, req: message.Request) -> message.Response:
    if req.method != "GET":
        return message.json_response(405, {"error": f"method {req.method} is not allowed"})
    if req.path == "/status":
        return message.json_response(200, status.describe(view))
    if req.path == configuration_status.PATH:
        return message.json_response(200, configuration_status.describe(view))
    if req.path == "/metrics":
        fields = header_lists.Headers().add("content-type", _METRICS_TYPE)
        return message.Response(200, fields, metrics.render(view.metrics))
    return message.json_response(404, {"error": f'path "{req.path}" not found'})
