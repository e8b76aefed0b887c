"""Cancels the work on a request when its client disconnects."""

from __future__ import annotations

import typing
from collections import abc

import trio

from galenavane.net import http_connection

MAX_PIPELINED_BYTES = 65536
INPUT_ENDED = "the client ended its input"
CONNECTION_FAILED = "the client's connection failed"

_T = typing.TypeVar("_T")


class DisconnectError(Exception):
    """The client closed its connection or stopped reading."""


async def cancel_on_disconnect(
    conn: http_connection.HttpConnection,
    function: abc.Callable[..., abc.Awaitable[_T]],
    *args: typing.Any,
) -> _T:
    """Run an async function, and cancel it when the client closes its connection.

    A client that only ends its sending side counts as one that has closed its connection: until
    something is sent to it, nothing tells them apart.

    Bytes of a pipelined request are kept for it. No other task may read from the connection in the
    meantime.

    :param conn: connection to the client.
    :raises DisconnectError: when the client closed the connection.
    """
    reasons: list[str] = []
    results: list[_T] = []
    errors: list[Exception] = []

    async def watch() -> None:
        reasons.append(await _wait_for_disconnect(conn))
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        # Caught here because the nursery would wrap it in an exception group.
        try:
            results.append(await function(*args))
        except Exception as exc:
            errors.append(exc)
        nursery.cancel_scope.cancel()
    if errors:
        raise errors[0]
    if not results:
        raise DisconnectError(*reasons)
    return results[0]


async def _wait_for_disconnect(conn: http_connection.HttpConnection) -> str:
    """Return how the client left, as far as this end can tell."""
    pipelined = 0
    while True:
        if pipelined > MAX_PIPELINED_BYTES:
            await trio.sleep_forever()
        try:
            data = await conn.stream.receive_some(http_connection.READ_SIZE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            return f"{CONNECTION_FAILED}: {exc}"
        if not data:
            return INPUT_ENDED
        pipelined += len(data)
        conn.machine.receive_data(bytes(data))
