"""pyzmq sockets under trio."""

from __future__ import annotations

import trio
import zmq

from galenavane.net import curve_key

MAX_MESSAGE_BYTES = 16_000_000
MAX_QUEUED_MESSAGES = 100
MAX_RECONNECT_MILLISECONDS = 400
HANDSHAKE_TIMEOUT_MILLISECONDS = 5_000
UNACKNOWLEDGED_TIMEOUT_MILLISECONDS = 5_000
HEARTBEAT_INTERVAL_MILLISECONDS = 15_000


class MessageSocket:
    """One ZeroMQ socket; only one task may receive from it."""

    __slots__ = ("_socket",)

    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        self._socket = socket

    async def receive(self) -> list[bytes]:
        """Return the frames of the next message."""
        while True:
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                await self._wait_readable()
                continue
            await trio.lowlevel.checkpoint()
            return frames

    async def _wait_readable(self) -> None:
        # Reading EVENTS re-arms the edge-triggered descriptor.
        if int(self._socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
            return
        await trio.lowlevel.wait_readable(int(self._socket.getsockopt(zmq.FD)))

    def send(self, frames: list[bytes]) -> bool:
        """Send without waiting; return whether the queue took the message."""
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            return False
        # Sending may consume the descriptor's edge, so events have to be read again.
        self._socket.getsockopt(zmq.EVENTS)
        return True

    def connect(self, endpoint: str) -> None:
        """Connect to another socket's endpoint."""
        self._socket.connect(endpoint)

    def close(self) -> None:
        """Close the socket and drop what is unsent."""
        self._socket.close(linger=0)


def bind_router(
    context: zmq.Context[zmq.Socket[bytes]], endpoint: str, key: curve_key.CurveKey | None
) -> MessageSocket:
    """Return a socket that receives from every peer.

    :param key: key that it decrypts with; callers are admitted by the context's authenticator.
    """
    socket = context.socket(zmq.ROUTER)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MILLISECONDS)
    if key is not None:
        socket.curve_server = True
        socket.curve_secretkey = key.secret
        socket.curve_publickey = key.public
    socket.bind(endpoint)
    return MessageSocket(socket)


def connect_dealer(
    context: zmq.Context[zmq.Socket[bytes]], endpoint: str, key: curve_key.CurveKey | None
) -> MessageSocket:
    """Return a socket that sends to one peer, which has the same key."""
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MILLISECONDS)
    socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MILLISECONDS)
    socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_TIMEOUT_MILLISECONDS)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MILLISECONDS)
    if key is not None:
        socket.curve_serverkey = key.public
        socket.curve_secretkey = key.secret
        socket.curve_publickey = key.public
    socket.connect(endpoint)
    return MessageSocket(socket)
