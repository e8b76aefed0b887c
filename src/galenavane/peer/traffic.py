"""Totals of the messages between entries."""

from __future__ import annotations


class Traffic:
    """Messages sent or received.

    :ivar messages: number of messages.
    :ivar message_bytes: total size in bytes, before encryption and framing.
    """

    __slots__ = ("message_bytes", "messages")

    def __init__(self) -> None:
        self.messages = 0
        self.message_bytes = 0

    def count(self, data: bytes) -> None:
        """Count one message."""
        self.messages += 1
        self.message_bytes += len(data)
