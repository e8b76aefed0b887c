"""A value that one task publishes and others read."""

from __future__ import annotations

import typing

import trio

_T = typing.TypeVar("_T")


class AsyncValue(typing.Generic[_T]):
    """The latest value and when it was set.

    :ivar set_at: monotonic time of the last publication.
    """

    __slots__ = ("_changed", "set_at", "value")

    def __init__(self, value: _T) -> None:
        self.value = value
        self.set_at = float("-inf")
        self._changed = trio.Event()

    def publish(self, value: _T) -> None:
        """Replace the value and wake those that wait."""
        self.value = value
        self.set_at = trio.current_time()
        self._changed.set()
        self._changed = trio.Event()

    async def wait_change(self) -> None:
        """Return at the next publication."""
        await self._changed.wait()
