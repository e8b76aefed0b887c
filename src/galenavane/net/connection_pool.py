"""Sends idempotent requests over pooled connections."""

from __future__ import annotations

import select
from collections import abc

import h11
import trio

from galenavane.net import address as addresses
from galenavane.net import http_connection, message, network, transport_error

MAX_IDLE_CONNECTIONS = 512
MAX_IDLE_PER_ADDRESS = 3


class ConnectionPool:
    """A pool of a few idle connections per address.

    Only for idempotent requests. A pooled connection may have been closed by the peer or dropped
    by a network device, so a request without a response over one is repeated over a new connection.
    """

    __slots__ = ("_idle", "_net")

    def __init__(self, net: network.Dialer) -> None:
        self._net = net
        self._idle: dict[addresses.Address, list[http_connection.HttpConnection]] = {}

    async def send(
        self,
        address: addresses.Address,
        req: message.Request,
        timeout_seconds: float,
        limit_bytes: int,
        reuse_share: float = 0.5,
        is_allowed: abc.Callable[[], bool] | None = None,
    ) -> message.Response:
        """Send an idempotent request.

        :param reuse_share: share of the timeout that may be spent on a pooled connection; 1.0 for
            a request whose response is expected near the timeout.
        :param is_allowed: called right before the first byte is sent; when it returns ``False``,
            nothing is sent.
        :raises TransportError: with ``has_sent_bytes`` for this request; ``NOT_ALLOWED`` if
            sending it was not allowed.
        """
        started_at = trio.current_time()
        reused = await self._take_idle(address)
        if reused is not None:
            reuse_seconds = timeout_seconds * reuse_share
            try:
                return await self._exchange(
                    reused, address, req, reuse_seconds, limit_bytes, is_allowed
                )
            except transport_error.TransportError as exc:
                if exc.kind is transport_error.Kind.NOT_ALLOWED:
                    raise
                if exc.kind is transport_error.Kind.SILENT:
                    # What has silenced this connection may have silenced the others.
                    await self._drop_idle(address)
        deadline = started_at + timeout_seconds
        conn = await self._net.dial(address, max(0.0, deadline - trio.current_time()))
        remaining_seconds = max(0.0, deadline - trio.current_time())
        return await self._exchange(conn, address, req, remaining_seconds, limit_bytes, is_allowed)

    async def _drop_idle(self, address: addresses.Address) -> None:
        for conn in self._idle.pop(address, []):
            await conn.close()

    async def _take_idle(self, address: addresses.Address) -> http_connection.HttpConnection | None:
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            if not _has_input(conn):
                return conn
            await conn.close()
        return None

    async def _exchange(
        self,
        conn: http_connection.HttpConnection,
        address: addresses.Address,
        req: message.Request,
        timeout_seconds: float,
        limit_bytes: int,
        is_allowed: abc.Callable[[], bool] | None,
    ) -> message.Response:
        is_returned = False
        try:
            if is_allowed is not None and not is_allowed():
                text = f"{address}: sending is no longer allowed"
                raise transport_error.TransportError(transport_error.Kind.NOT_ALLOWED, False, text)
            with trio.fail_after(max(0.0, timeout_seconds)):
                await conn.send_request(req, str(address))
                response = await conn.read_response_head()
                response.body = await conn.read_body(limit_bytes)
            is_returned = self._put_idle(conn, address)
            return response
        except trio.TooSlowError:
            kind = transport_error.Kind.SILENT
            text = f"{address}: no response before the timeout"
            raise transport_error.TransportError(kind, conn.has_sent_bytes, text) from None
        finally:
            if not is_returned:
                await conn.close()

    def _put_idle(self, conn: http_connection.HttpConnection, address: addresses.Address) -> bool:
        """Put a reusable connection back into the pool; return whether it was accepted."""
        machine = conn.machine
        if machine.our_state is not h11.DONE or machine.their_state is not h11.DONE:
            return False
        unread, is_ended = machine.trailing_data
        # h11 also counts a response that ended with its connection as done, and would take bytes
        # beyond a response as the next one.
        if unread or is_ended:
            return False
        idle = self._idle.setdefault(address, [])
        idle_count = sum(len(conns) for conns in self._idle.values())
        if len(idle) >= MAX_IDLE_PER_ADDRESS or idle_count >= MAX_IDLE_CONNECTIONS:
            return False
        machine.start_next_cycle()
        idle.append(conn)
        return True


def _has_input(conn: http_connection.HttpConnection) -> bool:
    """Whether bytes or the end of an idle connection have arrived, which answer no request."""
    if not isinstance(conn.stream, trio.SocketStream):
        return False
    poll = select.poll()
    poll.register(conn.stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def make(net: network.Dialer) -> ConnectionPool:
    """Return an empty connection pool."""
    return ConnectionPool(net)
