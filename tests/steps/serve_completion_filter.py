"""Steps for the completion filter."""

from __future__ import annotations

import h11
import msgspec
from behave import then

from galenavane.experiment import relay_ends
from galenavane.net import headers, http_connection, http_server, message
from galenavane.serve import completion_filter, stream_state

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
END = b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"


def make_filter(delivered=0):
    source = h11.Connection(h11.CLIENT)
    source.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    source.send(h11.EndOfMessage())
    source.receive_data(HEAD)
    source.next_event()
    state = stream_state.StreamState("r1", delivered)
    state.begin_try()
    return completion_filter.CompletionFilter(source, state, lambda data: data)


def read_offsets(payload):
    events = [part for part in payload.split(b"\n\n") if part]
    return [msgspec.json.decode(part.removeprefix(b"data: "))["offset"] for part in events]


def make_tokens(count, start=0):
    return b"".join(relay_ends.make_token_chunk("r1", start + number) for number in range(count))


@then("a stream of {count:d} tokens split at any byte is forwarded completely")
def check_splits(context, count):
    whole = make_tokens(count) + END
    for cut in range(1, len(whole)):
        chunk_filter = make_filter()
        output = chunk_filter.feed(whole[:cut], 1.0) + chunk_filter.feed(whole[cut:], 2.0)
        assert read_offsets(output) == list(range(count)), cut
        assert chunk_filter.is_done, cut
        assert chunk_filter.error is None, (cut, chunk_filter.error)


@then("a filter that resumes at {start:d} forwards tokens 3 to 5 of {count:d}")
def check_resumed(context, start, count):
    chunk_filter = make_filter(start)
    assert read_offsets(chunk_filter.feed(make_tokens(count) + END, 1.0)) == [3, 4, 5]


DAMAGE = {
    "a token of another request": relay_ends.make_token_chunk("r2", 3),
    "a skipped token": relay_ends.make_token_chunk("r1", 4),
    "broken JSON": b'e\r\ndata: {"id":\n\n\r\n',
    "the end": b"0\r\n\r\n",
}


@then("a filter that reads 3 tokens and then {damage} forwards 3 and reports {error}")
def read_damage(context, damage, error):
    chunk_filter = make_filter()
    assert read_offsets(chunk_filter.feed(make_tokens(3) + DAMAGE[damage], 1.0)) == [0, 1, 2]
    assert chunk_filter.is_done
    assert type(chunk_filter.error).__name__ == error


@then("chunk frames of 1, 15, 16, 4095 and 70000 bytes equal those of h11")
def compare_frames(context):
    for size in (1, 15, 16, 4095, 70000):
        exchanges = [make_exchange(), make_exchange()]
        by_hand = exchanges[0].frame_chunk(headers.Headers(), b"x" * size)
        machine = exchanges[1].conn.machine
        fields = [("transfer-encoding", "chunked")]
        by_h11 = machine.send(h11.Response(status_code=200, headers=fields))
        assert by_hand == by_h11 + machine.send(h11.Data(data=b"x" * size)), size


def make_exchange():
    conn = http_connection.HttpConnection(None, h11.SERVER)
    conn.machine.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    conn.machine.next_event()
    return http_server.Exchange(conn, message.Request("GET", "/"))
