"""Steps for closing the connections of a server together."""

from __future__ import annotations

import json

import trio
import trio.testing
from behave import then
from steps import net_failed_answers

from galenavane.net import connections, http_server
from galenavane.simulate import virtual_clock

CLOSE_SECONDS = 5.0


def close_beside(client_task, expected_reading):
    """Serve a connection and close it after ``CLOSE_SECONDS``.

    :param expected_reading: number of requests that are being read right before.
    :returns: all bytes that the client got, and the seconds from the close to the end.
    """

    async def main():
        client, server = trio.testing.memory_stream_pair()
        conns = connections.Connections()
        answer = b""

        async def close():
            await trio.sleep(CLOSE_SECONDS)
            assert conns.reading == expected_reading, conns.reading
            conns.close()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                http_server.serve_stream,
                server,
                net_failed_answers.respond_ok,
                http_server.Limits(),
                conns,
            )
            nursery.start_soon(client_task, client)
            nursery.start_soon(close)
            async for part in client:
                answer += part
        assert (conns.waiting, conns.reading) == (0, 0)
        return answer, trio.current_time() - CLOSE_SECONDS

    return virtual_clock.run(main, 1)


@then("a client that has sent {part} when the connections are closed gets status 503 as not run")
def check_refused(context, part):
    data = net_failed_answers.PARTS[part]
    answer, seconds = close_beside(net_failed_answers.send_once(data), 1)
    if part == "a second head":
        first, _, answer = answer.partition(b"\r\n\r\nok")
        assert first.startswith(b"HTTP/1.1 200 "), first
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ") and b"connection: close" in head.lower(), answer
    detail = json.loads(body)["error"]
    assert (detail["name"], detail["outcome"]) == ("leaving", "not_run"), detail
    assert 0 <= seconds < 0.1, seconds


@then("a client whose request arrives {when} the connections are closed gets status 200")
def check_crossing(context, when):
    async def client_task(client):
        data = net_failed_answers.GET
        await trio.sleep(CLOSE_SECONDS)
        if when == "at the moment when":
            await client.send_all(data)
            return
        await client.send_all(data[:20])
        await trio.sleep(http_server.LAST_RECEIVE_SECONDS / 2)
        await client.send_all(data[20:])

    answer, seconds = close_beside(client_task, 0)
    assert answer.startswith(b"HTTP/1.1 200 "), answer
    assert seconds < 0.1, seconds


@then("a client that is idle when the connections are closed gets the end without a byte")
def check_idle(context):
    answer, seconds = close_beside(net_failed_answers.send_once(b""), 0)
    assert answer == b"" and 0 <= seconds < 0.1, (answer, seconds)
