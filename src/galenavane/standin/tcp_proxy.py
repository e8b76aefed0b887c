"""TCP proxy that injects network faults: resets, delays, pauses and lost bytes."""

from __future__ import annotations

import contextlib
import socket

import msgspec
import trio

from galenavane.net import address as addresses
from galenavane.net import http_server, message, network

READ_SIZE_BYTES = 65536
BACKLOG = 128
FILLER_COUNT = 4
"""Own connections that fill a listener's shortened queue, so that it accepts no others."""


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
    :ivar holds_bytes: bytes in both directions wait until this is unset; none is lost.
    :ivar accepts_none: attempts to connect wait until this is unset.
    """

    cut: bool = False
    silent: bool = False
    silence_open: bool = False
    lose_answers: bool = False
    cut_after_bytes: int = 0
    delay_seconds: float = 0.0
    holds_bytes: bool = False
    accepts_none: bool = False


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
    """State of the proxy.

    :ivar changed: set, and replaced, when the faults change.
    :ivar accept_scope: scope of the wait for the next connection.
    :ivar fillers: own connections in the listener's queue.
    """

    __slots__ = (
        "accept_scope",
        "changed",
        "connections",
        "faults",
        "fillers",
        "listener",
        "target",
    )

    def __init__(self, target: addresses.Address, listener: trio.SocketListener) -> None:
        self.target = target
        self.listener = listener
        self.faults = Faults()
        self.connections: list[_Connection] = []
        self.changed = trio.Event()
        self.accept_scope = trio.CancelScope()
        self.fillers: list[socket.socket] = []

    async def wait_passing(self) -> None:
        """Wait until bytes are passed on."""
        while self.faults.holds_bytes:
            await self.changed.wait()

    async def wait_accepting(self) -> None:
        """Wait until connections are accepted."""
        while self.faults.accepts_none:
            await self.changed.wait()

    def set_faults(self, faults: Faults) -> None:
        """Set the faults and apply them to the open connections."""
        self.faults = faults
        self._fill_queue() if faults.accepts_none else self.empty_queue()
        self.changed.set()
        self.changed = trio.Event()
        for connection in self.connections:
            if faults.silence_open:
                connection.is_silent = True
            if faults.cut:
                connection.scope.cancel()

    def _fill_queue(self) -> None:
        if self.fillers:
            return
        self.accept_scope.cancel()
        self.listener.socket.listen(0)
        for _ in range(FILLER_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.socket.getsockname())
            self.fillers.append(filler)

    def empty_queue(self) -> None:
        """Close the own connections and accept others again."""
        for filler in self.fillers:
            filler.close()
        if self.fillers:
            self.listener.socket.listen(BACKLOG)
        self.fillers.clear()


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
    listener = (await trio.open_tcp_listeners(listen.port, host=listen.host, backlog=BACKLOG))[0]
    proxy = _Proxy(target, listener)

    async def handle(exchange: http_server.Exchange) -> None:
        proxy.set_faults(msgspec.json.decode(exchange.request.body, type=Faults))
        await exchange.respond(message.json_response(200, proxy.faults))

    async with listener, trio.open_nursery() as nursery:
        await nursery.start(net.listen, control, handle)
        task_status.started()
        try:
            await _accept_connections(proxy, nursery)
        finally:
            proxy.empty_queue()


async def _accept_connections(proxy: _Proxy, nursery: trio.Nursery) -> None:
    while True:
        await proxy.wait_accepting()
        with trio.CancelScope() as proxy.accept_scope:
            nursery.start_soon(_relay_connection, proxy, await proxy.listener.accept())


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
            await proxy.wait_passing()
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
