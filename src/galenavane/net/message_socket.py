"""Adapts ZeroMQ sockets to trio."""

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
    """A ZeroMQ socket, from which only one task may receive at a time."""

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
        # ZeroMQ's descriptor is edge-triggered; reading EVENTS re-arms it.
        if int(self._socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
            return
        await trio.lowlevel.wait_readable(int(self._socket.getsockopt(zmq.FD)))

    def send(self, frames: list[bytes]) -> bool:
        """Queue a message without blocking; return ``False`` when the send queue is full."""
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            return False
        # Sending may consume the descriptor's edge, so EVENTS must be read again.
        self._socket.getsockopt(zmq.EVENTS)
        return True

    def connect(self, endpoint: str) -> None:
        """Connect to another socket's endpoint."""
        self._socket.connect(endpoint)

    def close(self) -> None:
        """Close the socket and drop unsent messages."""
        self._socket.close(linger=0)


def bind_router(
    context: zmq.Context[zmq.Socket[bytes]], endpoint: str, key: curve_key.CurveKey | None
) -> MessageSocket:
    """Return a bound ROUTER socket, which receives from all peers.

    :param key: key pair for decryption, ``None`` for plain text; peers are authorized by the
        context's authenticator.
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
    """Return a DEALER socket that is connected to one peer.

    :param key: key pair, which the peer shares; ``None`` for plain text.
    """
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
