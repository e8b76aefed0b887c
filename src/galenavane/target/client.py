"""Makes control calls to engines with JSON over HTTP."""

from __future__ import annotations

import typing
from collections import abc

import expression
import msgspec

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.net import address as addresses
from galenavane.net import connection_pool, message, network, round_trip, transport_error
from galenavane.target import api, command, report

MAX_RESPONSE_BYTES = 4_000_000

_T = typing.TypeVar("_T")


class _Client:
    __slots__ = ("_keep_alive", "_net", "_timeout")

    def __init__(self, net: network.Network, timeout_seconds: float) -> None:
        self._net = net
        self._keep_alive = connection_pool.make(net)
        self._timeout = timeout_seconds

    async def fetch_report(self, address: str) -> expression.Result[report.Report, failure.Failure]:
        return await self._call(address, message.Request("GET", "/v1/report"), report.Report)

    async def send(
        self, address: str, target_command: command.Command, is_allowed: abc.Callable[[], bool]
    ) -> expression.Result[report.Report, failure.Failure]:
        req = message.json_request("POST", "/v1/commands", target_command)
        return await self._call(address, req, report.Report, is_allowed)

    async def fetch_cache_events(
        self, address: str, after: int
    ) -> expression.Result[report.CacheEvents, failure.Failure]:
        req = message.Request("GET", f"/v1/cache/events?after={after}")
        return await self._call(address, req, report.CacheEvents)

    async def _call(
        self,
        address: str,
        req: message.Request,
        response_type: type[_T],
        is_allowed: abc.Callable[[], bool] | None = None,
    ) -> expression.Result[_T, failure.Failure]:
        parsed = addresses.parse(address)
        try:
            response = await self._exchange(parsed, req, is_allowed)
        except transport_error.TransportError as exc:
            return expression.Error(_transport_failure(address, exc))
        if response.status == 200:
            return expression.Ok(msgspec.json.decode(response.body, type=response_type))
        is_stale = response.headers.get("x-stale-token") != ""
        code = codes.Code.STALE_TOKEN if is_stale else codes.Code.TARGET_REFUSED
        text = f"{address}: status {response.status}: {response.body.decode('utf-8', 'replace')}"
        return expression.Error(failure.Failure(code, text))

    async def _exchange(
        self,
        parsed: addresses.Address,
        req: message.Request,
        is_allowed: abc.Callable[[], bool] | None,
    ) -> message.Response:
        """Send a request: queries on a persistent connection, commands on a new one.

        The new connection lets ``is_allowed`` be called right before the first byte is sent.
        """
        if req.method == "GET":
            return await self._keep_alive.send(parsed, req, self._timeout, MAX_RESPONSE_BYTES)
        return await round_trip.send(
            self._net, parsed, req, self._timeout, MAX_RESPONSE_BYTES, is_allowed=is_allowed
        )


def make(net: network.Network, timeout_seconds: float) -> api.Api:
    """Return a client whose calls time out after ``timeout_seconds``."""
    return _Client(net, timeout_seconds)


def _transport_failure(address: str, exc: transport_error.TransportError) -> failure.Failure:
    text = f"{address}: {exc}"
    if exc.has_sent_bytes:
        return failure.Failure(codes.Code.TARGET_LOST, text, outcomes.Outcome.UNKNOWN)
    return failure.Failure(codes.Code.TARGET_UNREACHABLE, text)
