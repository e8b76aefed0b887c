"""Sends one request over a new connection and reads the complete response."""

from __future__ import annotations

import math
from collections import abc

import trio

from galenavane.net import address as addresses
from galenavane.net import message, network, transport_error


async def send(
    net: network.Dialer,
    address: addresses.Address,
    req: message.Request,
    timeout_seconds: float,
    limit_bytes: int,
    connect_seconds: float = math.inf,
    is_allowed: abc.Callable[[], bool] | None = None,
) -> message.Response:
    """Send a request and read the complete response.

    :param is_allowed: called after connecting, right before the first byte is sent; when it
        returns ``False``, nothing is sent.
    :raises TransportError: with ``has_sent_bytes`` for this request; ``NOT_ALLOWED`` if sending it
        was not allowed.
    """
    conn = await net.dial(address, min(timeout_seconds, connect_seconds))
    try:
        if is_allowed is not None and not is_allowed():
            kind = transport_error.Kind.NOT_ALLOWED
            raise transport_error.TransportError(
                kind, False, f"{address}: sending is no longer allowed"
            )
        with trio.fail_after(timeout_seconds):
            await conn.send_request(req, str(address))
            response = await conn.read_response_head()
            response.body = await conn.read_body(limit_bytes)
            return response
    except trio.TooSlowError:
        kind = transport_error.Kind.SILENT
        text = f"{address}: no response within {timeout_seconds} s"
        raise transport_error.TransportError(kind, conn.has_sent_bytes, text) from None
    finally:
        await conn.close()
