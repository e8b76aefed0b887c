"""Stand-in for a network path: a TCP relay that can cut, delay and fall silent."""

from __future__ import annotations

import contextlib

import msgspec
import trio

from galenavane.net import address as addresses
from galenavane.net import http_server, message, network

READ_SIZE_BYTES = 65536


class Faults(msgspec.Struct):
    """State of the switches.

    :ivar cut: connections are reset and new ones are closed at once.
    :ivar silent: bytes are lost without a word, on new connections too.
    :ivar silence_open: connections open at this moment lose every byte for good.
    :ivar lose_answers: bytes to the caller's side are lost, those from it arrive.
    :ivar cut_after_bytes: a connection is reset once it has carried so many bytes to the caller's
        side; 0 never.
    :ivar delay_seconds: added one way.
    """

    cut: bool = False
    silent: bool = False
    silence_open: bool = False
    lose_answers: bool = False
    cut_after_bytes: int = 0
    delay_seconds: float = 0.0


class _Connection:
    """One relayed connection."""

    __slots__ = ("drops_responses", "is_silent", "returned_bytes", "scope")

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.is_silent = False
        self.drops_responses = False
        self.returned_bytes = 0


class _Proxy:
    """State of the relay."""

    __slots__ = ("connections", "faults", "target")

    def __init__(self, target: addresses.Address) -> None:
        self.target = target
        self.faults = Faults()
        self.connections: list[_Connection] = []

    def set_faults(self, faults: Faults) -> None:
        """Put switches in force."""
        self.faults = faults
        for pair in self.connections:
            if faults.silence_open:
                pair.is_silent = True
            if faults.cut:
                pair.scope.cancel()


async def run(
    net: network.Network,
    listen: addresses.Address,
    target: addresses.Address,
    control: addresses.Address,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Relay until cancelled; ``POST /faults`` to ``control`` sets the switches."""
    link = _Proxy(target)

    async def handle(exchange: http_server.Exchange) -> None:
        link.set_faults(msgspec.json.decode(exchange.request.body, type=Faults))
        await exchange.respond(message.json_response(200, link.faults))

    async def accept(stream: trio.SocketStream) -> None:
        await _relay_connection(link, stream)

    async with trio.open_nursery() as nursery:
        await nursery.start(net.listen, control, handle)
        listeners = await trio.open_tcp_listeners(listen.port, host=listen.host)
        nursery.start_soon(trio.serve_listeners, accept, listeners)
        task_status.started()


async def _relay_connection(link: _Proxy, caller: trio.SocketStream) -> None:
    if link.faults.cut:
        await trio.aclose_forcefully(caller)
        return
    pair = _Connection()
    link.connections.append(pair)
    try:
        with pair.scope:
            target = await trio.open_tcp_stream(link.target.host, link.target.port)
            async with target, trio.open_nursery() as nursery:
                nursery.start_soon(_copy_bytes, link, pair, caller, target, False)
                nursery.start_soon(_copy_bytes, link, pair, target, caller, True)
    except* OSError:
        pass
    finally:
        link.connections.remove(pair)
        await trio.aclose_forcefully(caller)


async def _copy_bytes(
    link: _Proxy,
    pair: _Connection,
    source: trio.SocketStream,
    sink: trio.SocketStream,
    is_back: bool,
) -> None:
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while data := await source.receive_some(READ_SIZE_BYTES):
            await trio.sleep(link.faults.delay_seconds)
            if pair.is_silent or link.faults.silent:
                pair.is_silent = True
                continue
            if is_back and (pair.drops_responses or link.faults.lose_answers):
                pair.drops_responses = True
                continue
            if is_back and _reaches_limit(link, pair, len(data)):
                pair.scope.cancel()
                return
            await sink.send_all(data)
        if not pair.is_silent:
            await sink.send_eof()
            return
    if not pair.is_silent:
        pair.scope.cancel()


def _reaches_limit(link: _Proxy, pair: _Connection, size_bytes: int) -> bool:
    pair.returned_bytes += size_bytes
    limit = link.faults.cut_after_bytes
    return 0 < limit <= pair.returned_bytes
