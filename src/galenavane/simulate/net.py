"""The network of simulated processes: HTTP connections and peer messages in memory."""

from __future__ import annotations

import contextvars
import dataclasses
import math

import h11
import trio

from galenavane.net import address as addresses
from galenavane.net import http_connection, http_server, transport_error
from galenavane.simulate import links, owner, stream

MAX_QUEUED_MESSAGES = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class _Listener:
    owner: owner.Owner
    handler: http_server.Handler
    limits: http_server.Limits
    nursery: trio.Nursery
    context: contextvars.Context


@dataclasses.dataclass(slots=True, frozen=True)
class _Inbox:
    owner: owner.Owner
    channel: trio.MemorySendChannel[bytes]


class Net:
    """Everything that listens, and every open connection.

    :ivar open: both ends of each connection, for faults and for kills.
    """

    __slots__ = ("inboxes", "links", "listeners", "open")

    def __init__(self, latency_seconds: float) -> None:
        self.links = links.Links(latency_seconds)
        self.listeners: dict[addresses.Address, _Listener] = {}
        self.inboxes: dict[str, _Inbox] = {}
        self.open: list[tuple[stream.Stream, stream.Stream]] = []

    def face(self, own: owner.Owner) -> Face:
        """Return the network as one process sees it."""
        return Face(self, own)

    def reset_all(self, own: owner.Owner) -> None:
        """Reset every connection of a killed process."""
        for one, two in self.open:
            if own in (one.own, two.own):
                one.reset()


class Face:
    """The network of one process; implements ``network.Network``."""

    __slots__ = ("_net", "_own")

    def __init__(self, net: Net, own: owner.Owner) -> None:
        self._net = net
        self._own = own

    async def dial(
        self, where: addresses.Address, timeout_seconds: float
    ) -> http_connection.HttpConnection:
        """Open a connection; a cut or frozen listener still accepts as a kernel does."""
        await self._own.gate()
        found = self._net.listeners.get(where)
        if found is not None and self._net.links.is_blocked(self._own.name, found.owner.name):
            await trio.sleep(timeout_seconds)
            raise _not_connected(f"{where}: timeout")
        await trio.sleep(2 * self._net.links.latency_seconds)
        found = self._net.listeners.get(where)
        if found is None or not found.owner.is_alive:
            raise _not_connected(f"{where}: refused")
        ours, theirs = stream.pair(self._own, found.owner, self._net.links)
        self._net.open.append((ours, theirs))
        found.context.run(found.nursery.start_soon, self._accept, found, theirs)
        return http_connection.HttpConnection(ours, h11.CLIENT)

    async def _accept(self, found: _Listener, theirs: stream.Stream) -> None:
        try:
            await http_server.serve_stream(theirs, found.handler, found.limits)
        finally:
            self._net.open = [two for two in self._net.open if theirs not in two]

    async def listen(
        self,
        where: addresses.Address,
        handler: http_server.Handler,
        limits: http_server.Limits | None = None,
        *,
        task_status: trio.TaskStatus[addresses.Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled."""
        async with trio.open_nursery() as nursery:
            chosen = limits or http_server.Limits()
            context = contextvars.copy_context()
            self._net.listeners[where] = _Listener(self._own, handler, chosen, nursery, context)
            task_status.started(where)
            try:
                await trio.sleep_forever()
            finally:
                del self._net.listeners[where]

    def transport(self, address: addresses.Address) -> Transport:
        """Return the transport of peer messages for one process."""
        return Transport(self._net, self._own, str(address))


class Transport:
    """Peer messages in memory; implements ``transport.Transport``."""

    __slots__ = ("_address", "_inbox", "_net", "_own")

    def __init__(self, net: Net, own: owner.Owner, address: str) -> None:
        self._net = net
        self._own = own
        self._address = address
        send, self._inbox = trio.open_memory_channel[bytes](math.inf)
        net.inboxes[address] = _Inbox(own, send)

    def send(self, address: str, data: bytes) -> bool:
        """Send unless the way is cut."""
        inbox = self._net.inboxes.get(address)
        if inbox is None or self._net.links.is_blocked(self._own.name, inbox.owner.name):
            return True
        if inbox.channel.statistics().current_buffer_used >= MAX_QUEUED_MESSAGES:
            return False
        inbox.channel.send_nowait(data)
        return True

    async def receive(self) -> bytes:
        """Return the next message."""
        await self._own.gate()
        data = await self._inbox.receive()
        await self._own.gate()
        return data

    def close(self) -> None:
        """Stop receiving."""
        inbox = self._net.inboxes.get(self._address)
        if inbox is not None and inbox.owner is self._own:
            del self._net.inboxes[self._address]


def _not_connected(text: str) -> transport_error.TransportError:
    return transport_error.TransportError(transport_error.Kind.NOT_CONNECTED, False, text)
