"""Notices that a client has closed its connection while it waits for an answer."""

from __future__ import annotations

import typing
from collections import abc

import h11
import trio

from galenavane.net import http_connection

MAX_PIPELINED_BYTES = 65536

_T = typing.TypeVar("_T")


class DisconnectError(Exception):
    """The client is gone, or takes no more bytes."""


async def cancel_on_disconnect(
    conn: http_connection.HttpConnection,
    function: abc.Callable[..., abc.Awaitable[_T]],
    *args: typing.Any,
) -> _T:
    """Run a function, which is cancelled when the client closes its connection.

    Bytes of a next request are kept for it. No task may read from the connection meanwhile.

    :raises DisconnectError: when the client is gone.
    """
    results: list[_T] = []
    errors: list[Exception] = []

    async def watch() -> None:
        await _wait_for_disconnect(conn)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        # Kept out of the nursery, which would wrap it in a group.
        try:
            results.append(await function(*args))
        except Exception as exc:
            errors.append(exc)
        nursery.cancel_scope.cancel()
    if errors:
        raise errors[0]
    if not results:
        raise DisconnectError
    return results[0]


async def _wait_for_disconnect(conn: http_connection.HttpConnection) -> None:
    pipelined = 0
    while pipelined <= MAX_PIPELINED_BYTES:
        try:
            data = await conn.stream.receive_some(http_connection.READ_SIZE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        if not data:
            return
        pipelined += len(data)
        try:
            conn.machine.receive_data(bytes(data))
        except h11.RemoteProtocolError:
            return
    await trio.sleep_forever()
