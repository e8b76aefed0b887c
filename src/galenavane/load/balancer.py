"""Stand-in for the load balancer of the platform, which avoids unreachable entries."""

from __future__ import annotations

from collections import abc

import trio

from galenavane.net import address as addresses
from galenavane.net import http_connection, network, transport_error

FAILURE_MEMORY_SECONDS = 2.0


class _Balancer:
    """Dialer that tries the other entries when the requested one is unreachable.

    :ivar failed_at: time of the last failed dial by address, in seconds on the monotonic clock.
    """

    __slots__ = ("_entries", "_net", "failed_at")

    def __init__(self, net: network.Dialer, entries: list[addresses.Address]) -> None:
        self._net = net
        self._entries = entries
        self.failed_at: dict[addresses.Address, float] = {}

    async def dial(
        self, address: addresses.Address, timeout_seconds: float
    ) -> http_connection.HttpConnection:
        if address not in self._entries:
            return await self._net.dial(address, timeout_seconds)
        last_error: transport_error.TransportError | None = None
        for candidate in self._order_entries(address):
            try:
                return await self._net.dial(candidate, timeout_seconds)
            except transport_error.TransportError as exc:
                self.failed_at[candidate] = trio.current_time()
                last_error = exc
        assert last_error is not None
        raise last_error

    def _order_entries(self, address: addresses.Address) -> list[addresses.Address]:
        """Return all entries from the requested one on, with recently failed ones last."""
        start = self._entries.index(address)
        rotated = self._entries[start:] + self._entries[:start]
        recent_since = trio.current_time() - FAILURE_MEMORY_SECONDS
        return sorted(
            rotated,
            key=lambda candidate: self.failed_at.get(candidate, float("-inf")) > recent_since,
        )


def make(net: network.Dialer, entries: abc.Iterable[addresses.Address]) -> network.Dialer:
    """Return a dialer that fails over between entries and dials other addresses directly."""
    return _Balancer(net, list(entries))
