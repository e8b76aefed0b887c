"""Reads that another task can cancel, without cancelling anything but the read."""

from __future__ import annotations

import typing
from collections import abc

import trio

_T = typing.TypeVar("_T")


class ReadCancelledError(Exception):
    """The read was cancelled by another task."""


class CancellableRead:
    """Cancels the read in progress, or else the next one."""

    __slots__ = ("_is_cancelled", "_scope")

    def __init__(self) -> None:
        self._is_cancelled = False
        self._scope: trio.CancelScope | None = None

    def cancel(self) -> None:
        """Make the read in progress, or else the next one, raise ``ReadCancelledError``."""
        self._is_cancelled = True
        if self._scope is not None:
            self._scope.cancel()

    async def run(self, function: abc.Callable[[], abc.Awaitable[_T]]) -> _T:
        """Run a read and return its result.

        :raises ReadCancelledError: if the read was cancelled.
        """
        if self._is_cancelled:
            raise ReadCancelledError
        with trio.CancelScope() as scope:
            self._scope = scope
            try:
                return await function()
            finally:
                self._scope = None
        raise ReadCancelledError
