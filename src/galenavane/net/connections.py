"""Requests that are read and served on the connections of one listener."""

from __future__ import annotations

import contextlib
from collections import abc

import trio


class Connections:
    """The connections of one listener.

    :ivar waiting: number of connections that wait for a request, read one or refuse it.
    :ivar reading: number of those on which the first byte of a request has arrived.
    :ivar is_closed: whether no more requests are waited for.
    """

    __slots__ = ("_scopes", "_served", "is_closed", "reading", "waiting")

    def __init__(self) -> None:
        self.waiting = 0
        self.reading = 0
        self.is_closed = False
        self._scopes: set[trio.CancelScope] = set()
        self._served: set[trio.CancelScope] = set()

    @contextlib.contextmanager
    def receive(self, seconds: float) -> abc.Iterator[trio.CancelScope]:
        """Limit the time for receiving, which also ends when no more is waited for."""
        with trio.move_on_after(seconds) as scope, _listed(scope, self._scopes):
            yield scope

    @contextlib.contextmanager
    def serve(self) -> abc.Iterator[trio.CancelScope]:
        """Do the work on a request, which is cancelled at the end of serving."""
        with trio.CancelScope() as scope, _listed(scope, self._served):
            yield scope

    def close(self) -> None:
        """Stop waiting for requests and reading them."""
        self.is_closed = True
        for scope in self._scopes:
            scope.cancel()

    def end_serving(self) -> None:
        """Cancel the work on all requests, so that they can be answered with an error."""
        for scope in self._served:
            scope.cancel()


@contextlib.contextmanager
def _listed(scope: trio.CancelScope, scopes: set[trio.CancelScope]) -> abc.Iterator[None]:
    scopes.add(scope)
    try:
        yield
    finally:
        scopes.discard(scope)
