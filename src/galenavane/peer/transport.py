"""How messages travel between entries; ZeroMQ in production, memory in simulations."""

from __future__ import annotations

import typing


class Transport(typing.Protocol):
    """Sends single messages without waiting, and receives them."""

    def send(self, address: str, data: bytes) -> bool:
        """Send to a peer; return whether the message was taken, not whether it arrives."""

    async def receive(self) -> bytes:
        """Return the next message from any peer."""

    def close(self) -> None:
        """Drop what is unsent and close."""
