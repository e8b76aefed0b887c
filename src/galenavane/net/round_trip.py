"""One whole request and response over a fresh connection."""

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
    """Send a request and read the whole response.

    :param is_allowed: asked once connected, right before the first byte is sent.
    :raises TransportError: with whether any byte of the request was sent.
    """
    conn = await net.dial(address, min(timeout_seconds, connect_seconds))
    try:
        if is_allowed is not None and not is_allowed():
            kind = transport_error.Kind.NOT_CONNECTED
            raise transport_error.TransportError(kind, False, f"{address}: no longer allowed")
        with trio.fail_after(timeout_seconds):
            await conn.send_request(req, str(address))
            response = await conn.read_response_head()
            response.body = await conn.read_body(limit_bytes)
            return response
    except trio.TooSlowError:
        kind = transport_error.Kind.SILENT
        text = f"{address}: no answer within {timeout_seconds} s"
        raise transport_error.TransportError(kind, conn.has_sent_bytes, text) from None
    finally:
        await conn.close()
