"""Client of the platform's object API over HTTP and JSON."""

from __future__ import annotations

import typing
import urllib.parse

import expression
import msgspec

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.net import address as addresses
from galenavane.net import message, network, round_trip, transport_error
from galenavane.store import api, instance, stored

WATCH_MARGIN_SECONDS = 2.0
MAX_RESPONSE_BYTES = 64_000_000

_T = typing.TypeVar("_T")


class _Client:
    """Implementation of ``api.Api`` over HTTP."""

    __slots__ = ("_address", "_net", "_timeout_seconds", "calls")

    def __init__(
        self, net: network.Network, address: addresses.Address, timeout_seconds: float
    ) -> None:
        self._net = net
        self._address = address
        self._timeout_seconds = timeout_seconds
        self.calls = 0

    async def get(self, key: str) -> expression.Result[stored.StoredObject, failure.Failure]:
        req = message.Request("GET", f"/v1/objects/{_quote(key)}")
        return await self._call(req, stored.StoredObject)

    async def put(
        self, key: str, value: str, if_version: int | None
    ) -> expression.Result[int, failure.Failure]:
        if len(value.encode()) > stored.MAX_VALUE_BYTES:
            text = f'value of "{key}" is larger than {stored.MAX_VALUE_BYTES} bytes'
            return expression.Error(failure.Failure(codes.Code.VALUE_TOO_LARGE, text))
        body = stored.PutRequest(value, if_version)
        req = message.json_request("PUT", f"/v1/objects/{_quote(key)}", body)
        written = await self._call(req, stored.WriteResponse)
        return written.map(lambda response: response.version)

    async def delete(
        self, key: str, if_version: int | None
    ) -> expression.Result[int, failure.Failure]:
        query = "" if if_version is None else f"?if_version={if_version}"
        req = message.Request("DELETE", f"/v1/objects/{_quote(key)}{query}")
        written = await self._call(req, stored.WriteResponse)
        return written.map(lambda response: response.version)

    async def list_objects(self, prefix: str) -> expression.Result[stored.Listing, failure.Failure]:
        req = message.Request("GET", f"/v1/list?prefix={_quote(prefix)}")
        return await self._call(req, stored.Listing)

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> expression.Result[stored.Listing, failure.Failure]:
        query = f"prefix={_quote(prefix)}&after={after}&wait={wait_seconds}"
        req = message.Request("GET", f"/v1/watch?{query}")
        timeout = wait_seconds + WATCH_MARGIN_SECONDS
        return await self._call(req, stored.Listing, timeout)

    async def list_instances(
        self, data_centre: str = "", after: int = 0
    ) -> expression.Result[instance.InstanceList, failure.Failure]:
        query = f"data_centre={_quote(data_centre)}&after={after}"
        req = message.Request("GET", f"/v1/instances?{query}")
        return await self._call(req, instance.InstanceList)

    async def _call(
        self, req: message.Request, response_type: type[_T], timeout_seconds: float | None = None
    ) -> expression.Result[_T, failure.Failure]:
        self.calls += 1
        timeout = timeout_seconds or self._timeout_seconds
        try:
            response = await round_trip.send(
                self._net, self._address, req, timeout, MAX_RESPONSE_BYTES
            )
        except transport_error.TransportError as exc:
            return expression.Error(_make_transport_failure(req, exc))
        if response.status != 200:
            return expression.Error(_make_status_failure(req, response))
        return expression.Ok(msgspec.json.decode(response.body, type=response_type))


def make(net: network.Network, address: addresses.Address, timeout_seconds: float) -> api.Api:
    """Return a client of the platform at an address.

    :param timeout_seconds: timeout of a call; a watch may take as long as its wait and a margin.
    """
    return _Client(net, address, timeout_seconds)


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="/")


def _make_transport_failure(
    req: message.Request, exc: transport_error.TransportError
) -> failure.Failure:
    if exc.has_sent_bytes and req.method != "GET":
        text = f"lost the response to {req.method} {req.path}: {exc}"
        return failure.Failure(codes.Code.PLATFORM_UNKNOWN, text, outcomes.Outcome.UNKNOWN)
    return failure.Failure(codes.Code.PLATFORM_DOWN, f"platform unreachable: {exc}")


def _make_status_failure(req: message.Request, response: message.Response) -> failure.Failure:
    text = f"{req.method} {req.path}: platform returned status {response.status}"
    if response.status == 409:
        return failure.Failure(codes.Code.PLATFORM_CONFLICT, text)
    if response.status == 413:
        return failure.Failure(codes.Code.VALUE_TOO_LARGE, text)
    if response.status == 429:
        return failure.Failure(codes.Code.PLATFORM_REFUSED, text)
    if response.status >= 500 and req.method != "GET":
        return failure.Failure(codes.Code.PLATFORM_UNKNOWN, text, outcomes.Outcome.UNKNOWN)
    return failure.Failure(codes.Code.PLATFORM_DOWN, text)
