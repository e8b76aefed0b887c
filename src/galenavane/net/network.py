"""Interfaces for opening and accepting connections: TCP, or memory in simulations."""

from __future__ import annotations

import typing

import trio

from galenavane.net import address as addresses
from galenavane.net import connections, http_connection, http_server


class Dialer(typing.Protocol):
    """Opens HTTP connections."""

    async def dial(
        self, address: addresses.Address, timeout_seconds: float
    ) -> http_connection.HttpConnection:
        """Open a client connection.

        :raises TransportError: ``NOT_CONNECTED``.
        """


class Network(Dialer, typing.Protocol):
    """Opens and accepts HTTP connections."""

    async def listen(
        self,
        address: addresses.Address,
        handler: http_server.Handler,
        limits: http_server.Limits | None = None,
        conns: connections.Connections | None = None,
        *,
        task_status: trio.TaskStatus[addresses.Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve connections until cancelled.

        :param conns: keeps account of the connections, and can close them.
        :param task_status: receives the bound address when the socket is listening.
        """
