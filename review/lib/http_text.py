"""Minimal HTTP/1.1 reading and writing for the stand-ins, on asyncio streams."""

from __future__ import annotations

import asyncio
import dataclasses

CHUNK_BYTES = 65_536


@dataclasses.dataclass
class Request:
    """A request as a server has read it; header names are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass
class Response:
    """A response as a client has read it; header names are lower case.

    :ivar is_complete: whether it ended where its framing says.
    :ivar has_bytes: whether any byte of it arrived.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    has_bytes: bool = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a start line and header fields; return ``None`` at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a complete request; return ``None`` at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    line, fields = head
    method, target, _ = line.split(" ", 2)
    body = b""
    length = int(fields.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return None
    return Request(method, target, fields, body)


def make_head(status: int, fields: dict[str, str]) -> bytes:
    """Return a response's status line and header fields."""
    lines = [f"HTTP/1.1 {status} -"] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def make_response(status: int, body: bytes = b"", fields: dict[str, str] | None = None) -> bytes:
    """Return a complete response with its length."""
    return make_head(status, {**(fields or {}), "Content-Length": str(len(body))}) + body


async def read_response(reader: asyncio.StreamReader, response: Response) -> None:
    """Read a response into ``response``, which keeps what has arrived if the connection breaks."""
    head = await read_head(reader)
    if head is None:
        return
    line, response.headers = head
    response.has_bytes = True
    response.status = int(line.split(" ", 2)[1])
    try:
        if response.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    response.is_complete = True
                    return
                response.body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif "content-length" in response.headers:
            length = int(response.headers["content-length"])
            while len(response.body) < length:
                part = await reader.read(min(CHUNK_BYTES, length - len(response.body)))
                if not part:
                    return
                response.body += part
            response.is_complete = True
        else:
            while part := await reader.read(CHUNK_BYTES):
                response.body += part
            response.is_complete = True
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return
