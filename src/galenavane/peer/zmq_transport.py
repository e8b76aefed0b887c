"""Messages between entries over ZeroMQ."""

from __future__ import annotations

import zmq

from galenavane.net import address as addresses
from galenavane.net import message_socket
from galenavane.peer import transport


class _ZmqTransport:
    __slots__ = ("_context", "_router", "_sockets")

    def __init__(self, where: addresses.Address) -> None:
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._router = message_socket.bind_router(self._context, f"tcp://{where}")
        self._sockets: dict[str, message_socket.MessageSocket] = {}

    def send(self, address: str, data: bytes) -> bool:
        if address not in self._sockets:
            socket = message_socket.connect_dealer(self._context, f"tcp://{address}")
            self._sockets[address] = socket
        return self._sockets[address].send([data])

    async def receive(self) -> bytes:
        frames = await self._router.receive()
        return frames[-1]

    def close(self) -> None:
        self._router.close()
        for socket in self._sockets.values():
            socket.close()
        self._context.term()


def make(where: addresses.Address) -> transport.Transport:
    """Return a transport that hears peers at an address."""
    return _ZmqTransport(where)
