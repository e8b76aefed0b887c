"""Represents complete HTTP requests and responses."""

from __future__ import annotations

import dataclasses

import msgspec

from galenavane.net import headers as header_lists


@dataclasses.dataclass(slots=True)
class Request:
    """A request whose body has been read or is ready to send.

    :ivar target: path with query, as on the request line.
    """

    method: str
    target: str
    headers: header_lists.Headers = dataclasses.field(default_factory=header_lists.Headers)
    body: bytes = b""

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(slots=True)
class Response:
    """A response whose body has been read or is ready to send."""

    status: int
    headers: header_lists.Headers = dataclasses.field(default_factory=header_lists.Headers)
    body: bytes = b""


def json_response(status: int, value: object) -> Response:
    """Build a response with a JSON body."""
    fields = header_lists.Headers().add("content-type", "application/json")
    return Response(status, fields, msgspec.json.encode(value))


def json_request(method: str, target: str, value: object) -> Request:
    """Build a request with a JSON body."""
    fields = header_lists.Headers().add("content-type", "application/json")
    return Request(method, target, fields, msgspec.json.encode(value))
