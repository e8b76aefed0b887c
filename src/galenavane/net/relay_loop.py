"""Relays all streams between TCP sockets in a single task."""

from __future__ import annotations

import contextvars
import select

import trio

from galenavane.net import http_connection, relay_stream, stream_filter

DEADLINE_CHECK_SECONDS = 0.1
BATCH_DELAY_SECONDS = 0.001
_READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP

_current_loop: trio.lowlevel.RunVar[RelayLoop] = trio.lowlevel.RunVar("relay_loop")


class RelayLoop:
    """An event loop with one epoll object for the sockets of all streams.

    With one task per stream, each token would wake a task, which costs more than relaying the
    token. The loop instead waits ``BATCH_DELAY_SECONDS`` and handles all ready sockets together.
    """

    __slots__ = ("_by_descriptor", "_epoll", "_is_running", "_next_deadline_check")

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._by_descriptor: dict[int, relay_stream.RelayStream] = {}
        self._is_running = False
        self._next_deadline_check = 0.0

    async def run(
        self,
        source: trio.SocketStream,
        sink: http_connection.HttpConnection,
        chunk_filter: stream_filter.StreamFilter,
        deadlines: stream_filter.Deadlines,
    ) -> None:
        """Relay one stream until it is done.

        :raises TransportError: when the source fails or times out.
        :raises DisconnectError: when the sink closed its connection or stopped reading.
        """
        stream = relay_stream.make(source, sink, chunk_filter, deadlines, trio.current_time())
        self._register(stream)
        try:
            stream.start(trio.current_time())
            self._update_interest(stream)
            await stream.ended.wait()
        finally:
            self._unregister(stream)
        if stream.error is not None:
            raise stream.error

    def _register(self, stream: relay_stream.RelayStream) -> None:
        for descriptor in (stream.source, stream.sink):
            self._by_descriptor[descriptor] = stream
            self._epoll.register(descriptor, _READ_EVENTS)
        if not self._is_running:
            self._is_running = True
            context = contextvars.copy_context()
            trio.lowlevel.spawn_system_task(self._run_until_empty, context=context)

    def _unregister(self, stream: relay_stream.RelayStream) -> None:
        for descriptor in (stream.source, stream.sink):
            del self._by_descriptor[descriptor]
            self._epoll.unregister(descriptor)

    async def _run_until_empty(self) -> None:
        try:
            is_busy = False
            while self._by_descriptor:
                if not is_busy:
                    with trio.move_on_after(DEADLINE_CHECK_SECONDS):
                        await trio.lowlevel.wait_readable(self._epoll.fileno())
                await trio.sleep(BATCH_DELAY_SECONDS)
                is_busy = self._handle_ready()
                self._check_deadlines()
        finally:
            self._is_running = False

    def _handle_ready(self) -> bool:
        """Handle every ready socket once; return whether any was ready."""
        now = trio.current_time()
        ready = self._epoll.poll(0)
        for descriptor, mask in ready:
            stream = self._by_descriptor.get(descriptor)
            if stream is None or stream.ended.is_set():
                continue
            was_blocked = bool(stream.unsent)
            if descriptor == stream.source:
                # epoll reports a hangup of the source even while reading from it is disabled.
                if not was_blocked:
                    stream.read_source(now)
            elif mask & ~select.EPOLLOUT:
                stream.read_sink()
            elif mask & select.EPOLLOUT:
                stream.flush(now)
            if was_blocked != bool(stream.unsent) or stream.ended.is_set():
                self._update_interest(stream)
        return bool(ready)

    def _update_interest(self, stream: relay_stream.RelayStream) -> None:
        """Update the epoll masks: the source is not read while output is unsent."""
        if stream.ended.is_set():
            self._epoll.modify(stream.source, 0)
            self._epoll.modify(stream.sink, 0)
        elif stream.unsent:
            self._epoll.modify(stream.source, 0)
            self._epoll.modify(stream.sink, _READ_EVENTS | select.EPOLLOUT)
        else:
            self._epoll.modify(stream.source, _READ_EVENTS)
            self._epoll.modify(stream.sink, _READ_EVENTS)

    def _check_deadlines(self) -> None:
        now = trio.current_time()
        if now < self._next_deadline_check:
            return
        self._next_deadline_check = now + DEADLINE_CHECK_SECONDS
        for stream in set(self._by_descriptor.values()):
            if now >= stream.deadline and not stream.ended.is_set():
                stream.expire()
                self._update_interest(stream)


def current() -> RelayLoop:
    """Return the loop of the current trio run; create it when there is none."""
    try:
        return _current_loop.get()
    except LookupError:
        loop = RelayLoop()
        _current_loop.set(loop)
        return loop
