"""In-memory byte streams between simulated processes."""

from __future__ import annotations

import trio

from galenavane.simulate import links, simulated_process


class Stream(trio.abc.Stream):
    """One end of a connection; :func:`make_pair` makes both.

    :ivar is_silent: bytes sent from this end are lost without an error.
    :ivar other_process: process at the other end.
    :ivar process: process at this end.
    :ivar silent_after_bytes: bytes that are still delivered before the end falls silent; ``None``
        never.
    :ivar reset_after_bytes: bytes that are still delivered before the connection is reset; ``None``
        never.
    """

    def __init__(
        self,
        process: simulated_process.SimulatedProcess,
        other_process: simulated_process.SimulatedProcess,
        link_state: links.Links,
    ) -> None:
        self.process = process
        self.other_process = other_process
        self.is_silent = False
        self.silent_after_bytes: int | None = None
        self.reset_after_bytes: int | None = None
        self._links = link_state
        self._buffer = bytearray()
        self._changed = trio.Event()
        self._is_peer_closed = False
        self._is_reset = False
        self._is_closed = False
        self._peer: Stream | None = None

    def set_peer(self, peer: Stream) -> None:
        """Set the other end of the connection."""
        self._peer = peer

    def other_end(self) -> Stream:
        """Return the other end of the connection."""
        assert self._peer is not None
        return self._peer

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes.

        :raises trio.BrokenResourceError: after a reset.
        :raises trio.ClosedResourceError: after this end was closed.
        """
        await self.process.wait_until_running()
        self._check_open()
        data = bytes(data)
        if self.reset_after_bytes is not None and len(data) >= self.reset_after_bytes:
            self._deliver(data[: self.reset_after_bytes])
            self.reset()
            raise trio.BrokenResourceError
        if self.reset_after_bytes is not None:
            self.reset_after_bytes -= len(data)
        await trio.sleep(self._links.latency_seconds)
        if self.silent_after_bytes is not None:
            self._deliver(data[: self.silent_after_bytes])
            self.silent_after_bytes -= len(data)
            self.is_silent = self.is_silent or self.silent_after_bytes <= 0
            return
        self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        if self._peer is None or self.is_silent:
            return
        if self._links.is_blocked(self.process.name, self.other_process.name):
            self.is_silent = True
            return
        self._peer.append_received(data)

    def append_received(self, data: bytes) -> None:
        """Append bytes from the other end to the receive buffer."""
        self._buffer += data
        self._notify()

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once: sending never blocks."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return some bytes, or empty bytes at the end of the stream.

        :raises trio.BrokenResourceError: after a reset, once the buffer is empty.
        :raises trio.ClosedResourceError: after this end was closed, once the buffer is empty.
        """
        await self.process.wait_until_running()
        while not (self._buffer or self._is_peer_closed or self._is_reset or self._is_closed):
            await self._changed.wait()
            await self.process.wait_until_running()
        if self._buffer:
            read_bytes = max_bytes or len(self._buffer)
            data = bytes(self._buffer[:read_bytes])
            del self._buffer[:read_bytes]
            return data
        self._check_open()
        return b""

    def reset(self) -> None:
        """Reset the connection at both ends."""
        for end in (self, self._peer):
            if end is not None:
                end._is_reset = True
                end._notify()

    async def aclose(self) -> None:
        """Close this end; the other end reads the end of the stream, unless this end is silent."""
        if not self._is_closed:
            self._is_closed = True
            self._notify()
            if self._peer is not None and not self.is_silent:
                self._peer._is_peer_closed = True
                self._peer._notify()
        await trio.lowlevel.checkpoint()

    def _check_open(self) -> None:
        if self._is_closed:
            raise trio.ClosedResourceError
        if self._is_reset:
            raise trio.BrokenResourceError

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def make_pair(
    process: simulated_process.SimulatedProcess,
    other_process: simulated_process.SimulatedProcess,
    link_state: links.Links,
) -> tuple[Stream, Stream]:
    """Return the two ends of a new connection, that of ``process`` first."""
    first = Stream(process, other_process, link_state)
    second = Stream(other_process, process, link_state)
    first.set_peer(second)
    second.set_peer(first)
    return first, second
