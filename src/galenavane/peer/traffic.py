"""Counts messages between entries."""

from __future__ import annotations


class Traffic:
    """Messages in one direction.

    :ivar message_bytes: before encryption and framing.
    """

    __slots__ = ("message_bytes", "messages")

    def __init__(self) -> None:
        self.messages = 0
        self.message_bytes = 0

    def count(self, data: bytes) -> None:
        """Count one message."""
        self.messages += 1
        self.message_bytes += len(data)
