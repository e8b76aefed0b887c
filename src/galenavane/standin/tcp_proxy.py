"""TCP proxy that injects network faults: resets, delays and lost bytes."""

from __future__ import annotations

import contextlib

import msgspec
import trio

from galenavane.net import address as addresses
from galenavane.net import http_server, message, network

READ_SIZE_BYTES = 65536


class Faults(msgspec.Struct):
    """Faults of the proxy, set by ``POST /faults``.

    :ivar cut: open connections are reset and new ones are closed at once.
    :ivar silent: bytes are lost without an error, on new connections too; a connection that lost
        bytes stays silent.
    :ivar silence_open: connections that are open when this is set lose every later byte.
    :ivar lose_answers: bytes to the client are lost, bytes from the client arrive.
    :ivar cut_after_bytes: a connection is reset once the target has sent so many bytes to the
        client; 0 never.
    :ivar delay_seconds: delay added in each direction.
    """

    cut: bool = False
    silent: bool = False
    silence_open: bool = False
    lose_answers: bool = False
    cut_after_bytes: int = 0
    delay_seconds: float = 0.0


class _Connection:
    """One relayed connection.

    :ivar drops_responses: bytes to the client are lost for the rest of the connection.
    :ivar is_silent: bytes in both directions are lost for the rest of the connection.
    :ivar returned_bytes: bytes received from the target so far.
    """

    __slots__ = ("drops_responses", "is_silent", "returned_bytes", "scope")

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.is_silent = False
        self.drops_responses = False
        self.returned_bytes = 0


class _Proxy:
    """State of the proxy."""

    __slots__ = ("connections", "faults", "target")

    def __init__(self, target: addresses.Address) -> None:
        self.target = target
        self.faults = Faults()
        self.connections: list[_Connection] = []

    def set_faults(self, faults: Faults) -> None:
        """Set the faults and apply them to the open connections."""
        self.faults = faults
        for connection in self.connections:
            if faults.silence_open:
                connection.is_silent = True
            if faults.cut:
                connection.scope.cancel()


async def run(
    net: network.Network,
    listen: addresses.Address,
    target: addresses.Address,
    control: addresses.Address,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Relay connections until cancelled.

    :param listen: address that clients connect to.
    :param target: address that connections are relayed to.
    :param control: address that takes ``POST /faults``.
    """
    proxy = _Proxy(target)

    async def handle(exchange: http_server.Exchange) -> None:
        proxy.set_faults(msgspec.json.decode(exchange.request.body, type=Faults))
        await exchange.respond(message.json_response(200, proxy.faults))

    async def accept(stream: trio.SocketStream) -> None:
        await _relay_connection(proxy, stream)

    async with trio.open_nursery() as nursery:
        await nursery.start(net.listen, control, handle)
        listeners = await trio.open_tcp_listeners(listen.port, host=listen.host)
        nursery.start_soon(trio.serve_listeners, accept, listeners)
        task_status.started()


async def _relay_connection(proxy: _Proxy, client: trio.SocketStream) -> None:
    if proxy.faults.cut:
        await trio.aclose_forcefully(client)
        return
    connection = _Connection()
    proxy.connections.append(connection)
    try:
        with connection.scope:
            target = await trio.open_tcp_stream(proxy.target.host, proxy.target.port)
            async with target, trio.open_nursery() as nursery:
                nursery.start_soon(_copy_bytes, proxy, connection, client, target, False)
                nursery.start_soon(_copy_bytes, proxy, connection, target, client, True)
    except* OSError:
        pass
    finally:
        proxy.connections.remove(connection)
        await trio.aclose_forcefully(client)


async def _copy_bytes(
    proxy: _Proxy,
    connection: _Connection,
    source: trio.SocketStream,
    sink: trio.SocketStream,
    is_to_client: bool,
) -> None:
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while data := await source.receive_some(READ_SIZE_BYTES):
            await trio.sleep(proxy.faults.delay_seconds)
            if connection.is_silent or proxy.faults.silent:
                connection.is_silent = True
                continue
            if is_to_client and (connection.drops_responses or proxy.faults.lose_answers):
                connection.drops_responses = True
                continue
            if is_to_client and _reaches_limit(proxy, connection, len(data)):
                connection.scope.cancel()
                return
            await sink.send_all(data)
        if not connection.is_silent:
            await sink.send_eof()
            return
    if not connection.is_silent:
        connection.scope.cancel()


def _reaches_limit(proxy: _Proxy, connection: _Connection, size_bytes: int) -> bool:
    connection.returned_bytes += size_bytes
    limit = proxy.faults.cut_after_bytes
    return 0 < limit <= connection.returned_bytes
