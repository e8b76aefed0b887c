"""Reads that another task may break off, at a moment when nothing else is under way."""

from __future__ import annotations

import typing
from collections import abc

import trio

_T = typing.TypeVar("_T")


class ReadCancelledError(Exception):
    """The read was broken off."""


class CancellableRead:
    """Breaks off the present read, or the next one."""

    __slots__ = ("_is_cancelled", "_scope")

    def __init__(self) -> None:
        self._is_cancelled = False
        self._scope: trio.CancelScope | None = None

    def cancel(self) -> None:
        """Let the present or next read raise."""
        self._is_cancelled = True
        if self._scope is not None:
            self._scope.cancel()

    async def run(self, function: abc.Callable[[], abc.Awaitable[_T]]) -> _T:
        """Return what a read returns.

        :raises StoppedError: when it was broken off.
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
