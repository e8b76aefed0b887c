"""Value that one task publishes and other tasks read or wait for."""

from __future__ import annotations

import typing

import trio

_T = typing.TypeVar("_T")


class AsyncValue(typing.Generic[_T]):
    """Latest published value.

    :ivar value: initial value until the first publication.
    :ivar set_at: monotonic time of the last publication in seconds, minus infinity before it.
    """

    __slots__ = ("_changed", "set_at", "value")

    def __init__(self, value: _T) -> None:
        self.value = value
        self.set_at = float("-inf")
        self._changed = trio.Event()

    def publish(self, value: _T) -> None:
        """Replace the value and wake the waiting tasks."""
        self.value = value
        self.set_at = trio.current_time()
        self._changed.set()
        self._changed = trio.Event()

    async def wait_change(self) -> None:
        """Wait for the next publication, even if it has an equal value."""
        await self._changed.wait()
