"""Transport of messages between entries; ZeroMQ in production, in-memory in simulations."""

from __future__ import annotations

import typing


class Transport(typing.Protocol):
    """Sends datagram-like messages without blocking, and receives them."""

    def send(self, address: str, data: bytes) -> bool:
        """Queue a message for a peer; return whether it was queued, not whether it will arrive.

        :param address: ``IP:port`` of the peer.
        """

    async def receive(self) -> bytes:
        """Return the next message from any peer."""

    def close(self) -> None:
        """Close the transport and drop unsent messages."""
