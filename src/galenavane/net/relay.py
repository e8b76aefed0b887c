"""Relays a streamed response from one connection to another."""

from __future__ import annotations

import trio

from galenavane.net import disconnect, http_connection, relay_loop, stream_filter, transport_error


async def run(
    source: http_connection.HttpConnection,
    sink: http_connection.HttpConnection,
    chunk_filter: stream_filter.StreamFilter,
    deadlines: stream_filter.Deadlines,
) -> None:
    """Relay until the filter is done.

    Streams between TCP sockets share one task and one epoll object.

    :raises TransportError: when the source fails or times out.
    :raises DisconnectError: when the sink closed its connection or stopped reading.
    """
    if isinstance(source.stream, trio.SocketStream) and isinstance(sink.stream, trio.SocketStream):
        await relay_loop.current().run(source.stream, sink, chunk_filter, deadlines)
    else:
        await disconnect.cancel_on_disconnect(
            sink, _run_streams, source, sink, chunk_filter, deadlines
        )


async def _run_streams(
    source: http_connection.HttpConnection,
    sink: http_connection.HttpConnection,
    chunk_filter: stream_filter.StreamFilter,
    deadlines: stream_filter.Deadlines,
) -> None:
    # The first events may have been received together with the response head.
    await _write(sink, chunk_filter.start(trio.current_time()), deadlines)
    timeout_seconds = deadlines.first_seconds
    while not chunk_filter.is_done:
        with trio.move_on_after(timeout_seconds) as read_scope:
            data = await source.receive()
        if read_scope.cancelled_caught:
            raise make_silence_error(timeout_seconds)
        await _write(sink, chunk_filter.feed(data, trio.current_time()), deadlines)
        timeout_seconds = deadlines.progress_seconds
    if chunk_filter.error is not None:
        raise chunk_filter.error


async def _write(
    sink: http_connection.HttpConnection, data: bytes, deadlines: stream_filter.Deadlines
) -> None:
    if not data:
        return
    try:
        with trio.fail_after(deadlines.write_seconds):
            await sink.stream.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
        raise disconnect.DisconnectError from None


def make_silence_error(timeout_seconds: float) -> transport_error.TransportError:
    """Return the error for a source that sent nothing within the timeout."""
    text = f"the target sent nothing for {timeout_seconds} s"
    return transport_error.TransportError(transport_error.Kind.SILENT, True, text)
