"""Requests that are being read on the connections of one listener."""

from __future__ import annotations

import contextlib
from collections import abc

import trio


class Connections:
    """The connections of one listener that wait for a request or read one.

    :ivar open: number of connections that wait for a request, read one or refuse it.
    :ivar reading: number of those on which the first byte of a request has arrived.
    :ivar is_closed: whether no more requests are waited for.
    """

    __slots__ = ("_scopes", "is_closed", "open", "reading")

    def __init__(self) -> None:
        self.open = 0
        self.reading = 0
        self.is_closed = False
        self._scopes: set[trio.CancelScope] = set()

    @contextlib.contextmanager
    def receive(self, seconds: float) -> abc.Iterator[trio.CancelScope]:
        """Limit the time for receiving, which also ends when no more is waited for."""
        with trio.move_on_after(seconds) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def close(self) -> None:
        """Stop waiting for requests and reading them."""
        self.is_closed = True
        for scope in self._scopes:
            scope.cancel()
