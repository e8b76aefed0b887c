"""In-memory network of simulated processes for HTTP connections and peer messages."""

from __future__ import annotations

import contextvars
import dataclasses
import math

import h11
import trio

from galenavane.net import address as addresses
from galenavane.net import connections, http_connection, http_server, transport_error
from galenavane.simulate import links, simulated_process, stream

MAX_QUEUED_MESSAGES = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class _Listener:
    process: simulated_process.SimulatedProcess
    handler: http_server.Handler
    limits: http_server.Limits
    conns: connections.Connections | None
    nursery: trio.Nursery
    context: contextvars.Context


@dataclasses.dataclass(slots=True, frozen=True)
class _Inbox:
    process: simulated_process.SimulatedProcess
    channel: trio.MemorySendChannel[bytes]


class MemoryNetwork:
    """Listeners, inboxes of peer messages and open connections of all processes.

    :ivar open_connections: both ends of each connection, the dialing end first; faults and kills
        are applied to them.
    """

    __slots__ = ("inboxes", "links", "listeners", "open_connections")

    def __init__(self, latency_seconds: float) -> None:
        self.links = links.Links(latency_seconds)
        self.listeners: dict[addresses.Address, _Listener] = {}
        self.inboxes: dict[str, _Inbox] = {}
        self.open_connections: list[tuple[stream.Stream, stream.Stream]] = []

    def attach_process(self, process: simulated_process.SimulatedProcess) -> ProcessNetwork:
        """Return the network of one process."""
        return ProcessNetwork(self, process)

    def reset_connections(self, process: simulated_process.SimulatedProcess) -> None:
        """Reset every connection of a process."""
        for client_end, server_end in self.open_connections:
            if process in (client_end.process, server_end.process):
                client_end.reset()


class ProcessNetwork:
    """Network of one process; implements ``network.Network``."""

    __slots__ = ("_net", "_process")

    def __init__(self, net: MemoryNetwork, process: simulated_process.SimulatedProcess) -> None:
        self._net = net
        self._process = process

    async def dial(
        self, address: addresses.Address, timeout_seconds: float
    ) -> http_connection.HttpConnection:
        """Open a connection; a frozen process still accepts, as the kernel does for it.

        :raises transport_error.TransportError: when nothing listens, or after the timeout when a
            partition separates the processes.
        """
        await self._process.wait_until_running()
        listener = self._net.listeners.get(address)
        if listener is not None and self._net.links.is_blocked(
            self._process.name, listener.process.name
        ):
            await trio.sleep(timeout_seconds)
            raise _not_connected(f"{address}: connection timed out")
        await trio.sleep(2 * self._net.links.latency_seconds)
        listener = self._net.listeners.get(address)
        if listener is None or not listener.process.is_alive:
            raise _not_connected(f"{address}: connection refused")
        client_end, server_end = stream.make_pair(self._process, listener.process, self._net.links)
        self._net.open_connections.append((client_end, server_end))
        listener.context.run(listener.nursery.start_soon, self._accept, listener, server_end)
        return http_connection.HttpConnection(client_end, h11.CLIENT)

    async def _accept(self, listener: _Listener, server_end: stream.Stream) -> None:
        try:
            await http_server.serve_stream(
                server_end, listener.handler, listener.limits, listener.conns
            )
        finally:
            self._net.open_connections = [
                ends for ends in self._net.open_connections if server_end not in ends
            ]

    async def listen(
        self,
        address: addresses.Address,
        handler: http_server.Handler,
        limits: http_server.Limits | None = None,
        conns: connections.Connections | None = None,
        *,
        task_status: trio.TaskStatus[addresses.Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections at an address until cancelled."""
        async with trio.open_nursery() as nursery:
            effective_limits = limits or http_server.Limits()
            context = contextvars.copy_context()
            self._net.listeners[address] = _Listener(
                self._process, handler, effective_limits, conns, nursery, context
            )
            task_status.started(address)
            try:
                await trio.sleep_forever()
            finally:
                del self._net.listeners[address]

    def transport(self, address: addresses.Address) -> Transport:
        """Return the transport of peer messages that receives at an address."""
        return Transport(self._net, self._process, str(address))


class Transport:
    """In-memory transport of peer messages; implements ``transport.Transport``."""

    __slots__ = ("_address", "_inbox", "_net", "_process")

    def __init__(
        self, net: MemoryNetwork, process: simulated_process.SimulatedProcess, address: str
    ) -> None:
        self._net = net
        self._process = process
        self._address = address
        channel, self._inbox = trio.open_memory_channel[bytes](math.inf)
        net.inboxes[address] = _Inbox(process, channel)

    def send(self, address: str, data: bytes) -> bool:
        """Queue a message for its receiver.

        A message to an unknown or partitioned address is lost without notice, as on a real network.

        :returns: whether the message was sent or lost, rather than dropped by a full queue.
        """
        inbox = self._net.inboxes.get(address)
        if inbox is None or self._net.links.is_blocked(self._process.name, inbox.process.name):
            return True
        if inbox.channel.statistics().current_buffer_used >= MAX_QUEUED_MESSAGES:
            return False
        inbox.channel.send_nowait(data)
        return True

    async def receive(self) -> bytes:
        """Return the next message; waits while the process is frozen."""
        await self._process.wait_until_running()
        data = await self._inbox.receive()
        await self._process.wait_until_running()
        return data

    def close(self) -> None:
        """Stop receiving, unless a newer process has taken over the address."""
        inbox = self._net.inboxes.get(self._address)
        if inbox is not None and inbox.process is self._process:
            del self._net.inboxes[self._address]


def _not_connected(text: str) -> transport_error.TransportError:
    return transport_error.TransportError(transport_error.Kind.NOT_CONNECTED, False, text)
