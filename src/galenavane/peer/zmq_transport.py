"""Transport over ZeroMQ, with CURVE encryption when peer keys are configured."""

from __future__ import annotations

import time
from collections import abc

import zmq
import zmq.auth.thread

from galenavane.net import address as addresses
from galenavane.net import curve_key, message_socket
from galenavane.peer import transport

IDLE_TIMEOUT_SECONDS = 60.0
_NO_KEYS: tuple[None] = (None,)


class _CurveKeyChecker:
    """Accepts connections whose public key is one of the configured keys."""

    __slots__ = ("_public_keys",)

    def __init__(self, keys: abc.Sequence[curve_key.CurveKey]) -> None:
        self._public_keys = {key.public for key in keys}

    def callback(self, domain: str, key: bytes) -> bool:
        return key in self._public_keys


class _Peer:
    """Sockets to one peer, one for each key that the peer may use.

    :ivar used_at: monotonic time of the last send, in seconds.
    """

    __slots__ = ("sockets", "used_at")

    def __init__(self, sockets: list[message_socket.MessageSocket]) -> None:
        self.sockets = sockets
        self.used_at = 0.0


class _ZmqTransport:
    __slots__ = ("_authenticator", "_context", "_idle_checked_at", "_keys", "_peers", "_router")

    def __init__(
        self, bind_address: addresses.Address, keys: abc.Sequence[curve_key.CurveKey]
    ) -> None:
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._keys = keys
        self._authenticator = _start_authenticator(self._context, keys) if keys else None
        endpoint = f"tcp://{bind_address}"
        self._router = message_socket.bind_router(
            self._context, endpoint, keys[0] if keys else None
        )
        self._peers: dict[str, _Peer] = {}
        self._idle_checked_at = time.monotonic()

    def send(self, address: str, data: bytes) -> bool:
        now = time.monotonic()
        self._close_idle(now)
        peer = self._peers.get(address)
        if peer is None:
            try:
                peer = self._peers[address] = _Peer(self._connect(address))
            except (zmq.ZMQError, ValueError):
                # The address is another writer's text.
                return False
        peer.used_at = now
        # Only the socket with the peer's current key completes its handshake.
        queued = [dealer.send([data]) for dealer in peer.sockets]
        if not any(queued):
            # Every queue is full or permanently rejected; the next message opens a new connection.
            self._close_peer(address)
        return any(queued)

    def _connect(self, address: str) -> list[message_socket.MessageSocket]:
        return [
            message_socket.connect_dealer(self._context, f"tcp://{address}", key)
            for key in self._keys or _NO_KEYS
        ]

    def _close_idle(self, now: float) -> None:
        if now < self._idle_checked_at + IDLE_TIMEOUT_SECONDS:
            return
        self._idle_checked_at = now
        for address, peer in list(self._peers.items()):
            if now >= peer.used_at + IDLE_TIMEOUT_SECONDS:
                self._close_peer(address)

    def _close_peer(self, address: str) -> None:
        for dealer in self._peers.pop(address).sockets:
            dealer.close()

    async def receive(self) -> bytes:
        frames = await self._router.receive()
        return frames[-1]

    def close(self) -> None:
        self._router.close()
        for address in list(self._peers):
            self._close_peer(address)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()


def _start_authenticator(
    context: zmq.Context[zmq.Socket[bytes]], keys: abc.Sequence[curve_key.CurveKey]
) -> zmq.auth.thread.ThreadAuthenticator:
    authenticator = zmq.auth.thread.ThreadAuthenticator(context)
    authenticator.start()
    authenticator.configure_curve_callback(domain="*", credentials_provider=_CurveKeyChecker(keys))
    return authenticator


def make(
    bind_address: addresses.Address, keys: abc.Sequence[curve_key.CurveKey] = ()
) -> transport.Transport:
    """Return a transport that receives messages of peers at an address.

    :param keys: the first key is this entry's own. Messages are sent to and accepted from peers
        that use any of the keys. Without keys, messages are unencrypted and accepted from anyone.
    """
    return _ZmqTransport(bind_address, keys)
