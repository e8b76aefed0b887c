"""Idempotent calls over connections that are kept open."""

from __future__ import annotations

import h11
import trio

from galenavane.net import address as addresses
from galenavane.net import http_connection, message, network, transport_error

MAX_IDLE_CONNECTIONS = 512
MAX_IDLE_PER_ADDRESS = 3


class ConnectionPool:
    """A few idle connections an address.

    Only for requests that may be repeated: a kept connection may have been closed or forgotten
    by something on the way, so a call that gets no answer over it is made again over a fresh one.
    """

    __slots__ = ("_idle", "_net")

    def __init__(self, net: network.Dialer) -> None:
        self._net = net
        self._idle: dict[addresses.Address, list[http_connection.HttpConnection]] = {}

    async def send(
        self,
        where: addresses.Address,
        req: message.Request,
        timeout_seconds: float,
        limit_bytes: int,
        reuse_share: float = 0.5,
    ) -> message.Response:
        """Send an idempotent request.

        :param reuse_share: part of the time that may be spent on a kept connection; 1.0 for a
            call whose answer is expected late.
        :raises TransportError: with whether any byte of the request was sent.
        """
        started_at = trio.current_time()
        kept = self._take_idle(where)
        if kept is not None:
            share = timeout_seconds * reuse_share
            try:
                return await self._exchange(kept, where, req, share, limit_bytes)
            except transport_error.TransportError:
                pass
        until = started_at + timeout_seconds
        conn = await self._net.dial(where, max(0.0, until - trio.current_time()))
        left = max(0.0, until - trio.current_time())
        return await self._exchange(conn, where, req, left, limit_bytes)

    def _take_idle(self, where: addresses.Address) -> http_connection.HttpConnection | None:
        idle = self._idle.get(where)
        return idle.pop() if idle else None

    async def _exchange(
        self,
        conn: http_connection.HttpConnection,
        where: addresses.Address,
        req: message.Request,
        timeout_seconds: float,
        limit_bytes: int,
    ) -> message.Response:
        is_kept = False
        try:
            with trio.fail_after(max(0.0, timeout_seconds)):
                await conn.send_request(req, str(where))
                response = await conn.read_response_head()
                response.body = await conn.read_body(limit_bytes)
            is_kept = self._keep(conn, where)
            return response
        except trio.TooSlowError:
            kind = transport_error.Kind.SILENT
            text = f"{where}: no answer in time"
            raise transport_error.TransportError(kind, conn.has_sent_bytes, text) from None
        finally:
            if not is_kept:
                await conn.close()

    def _keep(self, conn: http_connection.HttpConnection, where: addresses.Address) -> bool:
        """Keep a connection that can carry another request; return whether it was kept."""
        machine = conn.machine
        if machine.our_state is not h11.DONE or machine.their_state is not h11.DONE:
            return False
        idle = self._idle.setdefault(where, [])
        kept = sum(len(conns) for conns in self._idle.values())
        if len(idle) >= MAX_IDLE_PER_ADDRESS or kept >= MAX_IDLE_CONNECTIONS:
            return False
        machine.start_next_cycle()
        idle.append(conn)
        return True


def make(net: network.Dialer) -> ConnectionPool:
    """Return calls over a network, with no connection yet."""
    return ConnectionPool(net)
