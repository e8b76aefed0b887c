"""Opens and accepts connections over TCP."""

from __future__ import annotations

import functools

import h11
import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.net import address as addresses
from galenavane.net import connections, http_connection, http_server, network, transport_error


class _TcpNetwork:
    __slots__ = ()

    async def dial(
        self, address: addresses.Address, timeout_seconds: float
    ) -> http_connection.HttpConnection:
        try:
            with trio.fail_after(timeout_seconds):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as exc:
            kind = transport_error.Kind.NOT_CONNECTED
            raise transport_error.TransportError(
                kind, False, f"{address}: {exc}", is_refused=_is_refused(exc)
            ) from exc
        return http_connection.HttpConnection(stream, h11.CLIENT)

    async def listen(
        self,
        address: addresses.Address,
        handler: http_server.Handler,
        limits: http_server.Limits | None = None,
        conns: connections.Connections | None = None,
        *,
        task_status: trio.TaskStatus[addresses.Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        listeners = await _open_listeners(address)
        port = listeners[0].socket.getsockname()[1]
        task_status.started(addresses.Address(address.host, port))
        serve = functools.partial(
            http_server.serve_stream,
            handler=handler,
            limits=limits or http_server.Limits(),
            conns=conns,
        )
        await trio.serve_listeners(serve, listeners)


def _is_refused(exc: BaseException) -> bool:
    """Whether an attempt to connect was refused; trio puts its reason into a group."""
    reasons = exc.__cause__.exceptions if isinstance(exc.__cause__, ExceptionGroup) else (exc,)
    return any(isinstance(reason, ConnectionRefusedError) for reason in reasons)


async def _open_listeners(address: addresses.Address) -> list[trio.SocketListener]:
    """Bind an address and listen on it.

    :raises failure.UserError: when it is in use or does not belong to this machine.
    """
    try:
        return await trio.open_tcp_listeners(address.port, host=address.host)
    except OSError as exc:
        text = f'address "{address}" can\'t be listened on: {exc.strerror}'
        raise failure.UserError(failure.Failure(codes.Code.BAD_SETTING, text)) from None


def make() -> network.Network:
    """Return the TCP network."""
    return _TcpNetwork()
