"""Encodes HTTP/1.1 messages, and tells one that can't be encoded from a failed connection."""

from __future__ import annotations

import h11

from galenavane.net import headers as header_lists


class EncodingError(Exception):
    """A message that is not valid HTTP; nothing of it was sent."""


def make_request(method: str, target: str, fields: header_lists.Headers) -> h11.Request:
    """Return the head of a request.

    :raises EncodingError: when it is not valid HTTP.
    """
    try:
        return h11.Request(method=method, target=target, headers=fields.pairs)
    except h11.LocalProtocolError as exc:
        raise EncodingError(f"the request can't be sent: {exc}") from exc


def make_response(status: int, fields: header_lists.Headers) -> h11.Response:
    """Return the head of a response.

    :raises EncodingError: when it is not valid HTTP.
    """
    try:
        return h11.Response(status_code=status, headers=fields.pairs)
    except h11.LocalProtocolError as exc:
        raise EncodingError(f"the response can't be sent: {exc}") from exc


def encode(machine: h11.Connection, *events: h11.Event) -> bytes:
    """Return the bytes of events, which count as sent from now on.

    :raises EncodingError: when one of them is not valid HTTP there.
    """
    try:
        return b"".join(machine.send(event) or b"" for event in events)
    except h11.LocalProtocolError as exc:
        raise EncodingError(str(exc)) from exc
