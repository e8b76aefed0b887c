"""Stands in for the platform's balancer: passes over entries that take no connection."""

from __future__ import annotations

from collections import abc

import trio

from galenavane.net import address as addresses
from galenavane.net import http_connection, network, transport_error

FAILURE_MEMORY_SECONDS = 2.0


class _Balancer:
    """Dials another entry when the wanted one takes no connection.

    :ivar failed_at: monotonic time of the last failure by address.
    """

    __slots__ = ("_entries", "_net", "failed_at")

    def __init__(self, net: network.Dialer, entries: list[addresses.Address]) -> None:
        self._net = net
        self._entries = entries
        self.failed_at: dict[addresses.Address, float] = {}

    async def dial(
        self, where: addresses.Address, timeout_seconds: float
    ) -> http_connection.HttpConnection:
        if where not in self._entries:
            return await self._net.dial(where, timeout_seconds)
        last: transport_error.TransportError | None = None
        for one in self._order_entries(where):
            try:
                return await self._net.dial(one, timeout_seconds)
            except transport_error.TransportError as exc:
                self.failed_at[one] = trio.current_time()
                last = exc
        assert last is not None
        raise last

    def _order_entries(self, where: addresses.Address) -> list[addresses.Address]:
        """Return every entry from the wanted one on, those that failed lately last."""
        first = self._entries.index(where)
        order = self._entries[first:] + self._entries[:first]
        since = trio.current_time() - FAILURE_MEMORY_SECONDS
        return sorted(order, key=lambda one: self.failed_at.get(one, float("-inf")) > since)


def make(net: network.Dialer, entries: abc.Iterable[addresses.Address]) -> network.Dialer:
    """Return a dialer that balances connections to entries."""
    return _Balancer(net, list(entries))
