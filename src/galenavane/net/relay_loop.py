"""One task that owns the sockets of every running stream."""

from __future__ import annotations

import contextvars
import select

import trio

from galenavane.net import http_connection, relay_stream, stream_filter

CHECK_SECONDS = 0.1
COLLECT_SECONDS = 0.001
_READ = select.EPOLLIN | select.EPOLLRDHUP

_hub: trio.lowlevel.RunVar[RelayLoop] = trio.lowlevel.RunVar("relay_hub")


class RelayLoop:
    """Sockets under one epoll object.

    A task for each stream would be woken once a token, and a wake-up costs more than the work. So
    the one task lets ready sockets collect for a moment and serves them in one round.
    """

    __slots__ = ("_by_descriptor", "_epoll", "_is_running", "_next_check")

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._by_descriptor: dict[int, relay_stream.RelayStream] = {}
        self._is_running = False
        self._next_check = 0.0

    async def run(
        self,
        source: trio.SocketStream,
        sink: http_connection.HttpConnection,
        pumped: stream_filter.StreamFilter,
        deadlines: stream_filter.Deadlines,
    ) -> None:
        """Relay one stream until it is done.

        :raises TransportError: when the source breaks or is silent.
        :raises DisconnectError: when the sink is gone.
        """
        stream = relay_stream.make(source, sink, pumped, deadlines, trio.current_time())
        self._register(stream)
        try:
            stream.start(trio.current_time())
            self._arm(stream)
            await stream.ended.wait()
        finally:
            self._unregister(stream)
        if stream.error is not None:
            raise stream.error

    def _register(self, stream: relay_stream.RelayStream) -> None:
        for descriptor in (stream.source, stream.sink):
            self._by_descriptor[descriptor] = stream
            self._epoll.register(descriptor, _READ)
        if not self._is_running:
            self._is_running = True
            context = contextvars.copy_context()
            trio.lowlevel.spawn_system_task(self._serve, context=context)

    def _unregister(self, stream: relay_stream.RelayStream) -> None:
        for descriptor in (stream.source, stream.sink):
            del self._by_descriptor[descriptor]
            self._epoll.unregister(descriptor)

    async def _serve(self) -> None:
        try:
            is_busy = False
            while self._by_descriptor:
                if not is_busy:
                    with trio.move_on_after(CHECK_SECONDS):
                        await trio.lowlevel.wait_readable(self._epoll.fileno())
                await trio.sleep(COLLECT_SECONDS)
                is_busy = self._serve_ready()
                self._check_deadlines()
        finally:
            self._is_running = False

    def _serve_ready(self) -> bool:
        """Serve every ready socket once; return whether there was any."""
        now = trio.current_time()
        ready = self._epoll.poll(0)
        for descriptor, mask in ready:
            stream = self._by_descriptor.get(descriptor)
            if stream is None or stream.ended.is_set():
                continue
            was_blocked = bool(stream.unsent)
            if descriptor == stream.source:
                # A source that hangs up is reported even while it is not to be read.
                if not was_blocked:
                    stream.read_source(now)
            elif mask & ~select.EPOLLOUT:
                stream.read_sink()
            elif mask & select.EPOLLOUT:
                stream.flush(now)
            if was_blocked != bool(stream.unsent) or stream.ended.is_set():
                self._arm(stream)
        return bool(ready)

    def _arm(self, stream: relay_stream.RelayStream) -> None:
        """Stop reading the source while the sink takes nothing."""
        if stream.ended.is_set():
            self._epoll.modify(stream.source, 0)
            self._epoll.modify(stream.sink, 0)
        elif stream.unsent:
            self._epoll.modify(stream.source, 0)
            self._epoll.modify(stream.sink, _READ | select.EPOLLOUT)
        else:
            self._epoll.modify(stream.source, _READ)
            self._epoll.modify(stream.sink, _READ)

    def _check_deadlines(self) -> None:
        now = trio.current_time()
        if now < self._next_check:
            return
        self._next_check = now + CHECK_SECONDS
        for stream in set(self._by_descriptor.values()):
            if now >= stream.deadline and not stream.ended.is_set():
                stream.expire()
                self._arm(stream)


def current() -> RelayLoop:
    """Return the hub of this run of trio."""
    try:
        return _hub.get()
    except LookupError:
        made = RelayLoop()
        _hub.set(made)
        return made
