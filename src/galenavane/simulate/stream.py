"""One end of a connection in memory."""

from __future__ import annotations

import trio

from galenavane.simulate import links, owner


class Stream(trio.abc.Stream):
    """A duplex byte stream whose two ends are made by :func:`pair`.

    :ivar silent: bytes sent are lost without an error.
    :ivar silent_after: bytes sent after so many more are lost; ``None`` never.
    :ivar cut_after: the connection is reset once so many more bytes were sent; ``None`` never.
    """

    def __init__(self, own: owner.Owner, other: owner.Owner, state: links.Links) -> None:
        self.own = own
        self.other = other
        self.silent = False
        self.silent_after: int | None = None
        self.cut_after: int | None = None
        self._links = state
        self._buffer = bytearray()
        self._changed = trio.Event()
        self._ended = False
        self._reset = False
        self._closed = False
        self._peer: Stream | None = None

    def attach(self, peer: Stream) -> None:
        """Name the other end."""
        self._peer = peer

    def other_end(self) -> Stream:
        """Return the other end of the connection."""
        assert self._peer is not None
        return self._peer

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; raises ``trio.BrokenResourceError`` after a reset."""
        await self.own.gate()
        self._check_open()
        data = bytes(data)
        if self.cut_after is not None and len(data) >= self.cut_after:
            self._deliver(data[: self.cut_after])
            self.reset()
            raise trio.BrokenResourceError
        if self.cut_after is not None:
            self.cut_after -= len(data)
        await trio.sleep(self._links.latency_seconds)
        if self.silent_after is not None:
            self._deliver(data[: self.silent_after])
            self.silent_after -= len(data)
            self.silent = self.silent or self.silent_after <= 0
            return
        self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        if self._peer is None or self.silent:
            return
        if self._links.is_blocked(self.own.name, self.other.name):
            self.silent = True
            return
        self._peer.take(data)

    def take(self, data: bytes) -> None:
        """Take in bytes from the other end."""
        self._buffer += data
        self._wake()

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once: sending never blocks."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return some bytes, empty at the end of the stream."""
        await self.own.gate()
        while not (self._buffer or self._ended or self._reset or self._closed):
            await self._changed.wait()
            await self.own.gate()
        if self._buffer:
            size = max_bytes or len(self._buffer)
            data = bytes(self._buffer[:size])
            del self._buffer[:size]
            return data
        self._check_open()
        return b""

    def reset(self) -> None:
        """Break the connection at both ends."""
        for end in (self, self._peer):
            if end is not None:
                end._reset = True
                end._wake()

    async def aclose(self) -> None:
        """Close this end; the other end reads the end of the stream."""
        if not self._closed:
            self._closed = True
            self._wake()
            if self._peer is not None and not self.silent:
                self._peer._ended = True
                self._peer._wake()
        await trio.lowlevel.checkpoint()

    def _check_open(self) -> None:
        if self._closed:
            raise trio.ClosedResourceError
        if self._reset:
            raise trio.BrokenResourceError

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def pair(one: owner.Owner, two: owner.Owner, state: links.Links) -> tuple[Stream, Stream]:
    """Return the two ends of a new connection."""
    first = Stream(one, two, state)
    second = Stream(two, one, state)
    first.attach(second)
    second.attach(first)
    return first, second
