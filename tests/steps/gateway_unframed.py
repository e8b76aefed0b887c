"""Steps for answers with neither a length nor chunks."""

from __future__ import annotations

import types

from behave import then, when
from steps import gateway_whole_path

from galenavane.net import tcp

plan_step = gateway_whole_path.plan_step
RESET_DELAY_SECONDS = 0.1
FIELDS = {
    "no fields": b"",
    "a length of 16": b"Content-Length: 16\r\n",
    "keep-alive": b"Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n",
    "close": b"Connection: close\r\n",
    "a length of 0": b"Content-Length: 0\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "a JSON type": b"Content-Type: application/json\r\n",
    "a JSON type and length": b"Content-Type: application/json\r\nContent-Length: 16\r\n",
    "a JSON type in chunks": b"Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n",
}


def make_events(first, last):
    """Return the events that the fake targets send."""
    return b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in range(first, last + 1))


def make_chunks(data):
    """Return data as one chunk and the last one."""
    return (b"%x\r\n%b\r\n" % (len(data), data) if data else b"") + b"0\r\n\r\n"


BODIES = {
    "an empty chunk": make_chunks(b""),
    "a text in a chunk": make_chunks(b"every part of it"),
    "a paragraph in a chunk": make_chunks(b"every part of it\n\n"),
    "a paragraph": b"every part of it\n\n",
    "events 1 to 8 in a chunk": make_chunks(make_events(1, 8)),
    "events 5 to 8 in a chunk": make_chunks(make_events(5, 8)),
    "events 6 to 8 in a chunk": make_chunks(make_events(6, 8)),
    "an empty one": b"",
    "a text": b"every part of it",
    "a long text": b"0123456789abcdef" * 200_000,
    "events 1 to 4": make_events(1, 4),
    "events 1 to 8": make_events(1, 8),
    "events 5 to 8": make_events(5, 8),
    "a part of the first event": b"id: 1\nda",
    "events 1 to 4 and a field name": make_events(1, 4) + b"id:",
    "events 1 to 4 and a part of an id": make_events(1, 4) + b"id: 5",
    "events 1 to 4 and an id line": make_events(1, 4) + b"id: 5\n",
    "events 1 to 4 and half a data line": make_events(1, 4) + b"id: 5\ndata: ",
    "events 1 to 4 and no blank line": make_events(1, 4) + b"id: 5\ndata: 5\n",
    "events 1 to 4 and half a character": make_events(1, 4) + "id: 5\ndata: \u20ac".encode()[:-1],
    "event 5 and a part of an id": make_events(5, 5) + b"id: 6",
}
REQUESTS = {
    "an order": ("/order/x", 0, "POST"),
    "a look-up": ("/status/x", 0, "GET"),
    "a HEAD request": ("/status/x", 0, "HEAD"),
    "a request for 8 events": ("/model/x", 8, "POST"),
    "a request for 30 events": ("/model/x", 30, "POST"),
    "a request that may run once": ("/once/x", 8, "POST"),
    "a request for 8 events of a feed": ("/feed/x", 8, "POST"),
}


def make_answer(status_line, fields, body, end, cut=None):
    """Return a prepared answer.

    :param cut: returns the bytes to send, given the answer's head and all of its bytes.
    """
    return types.SimpleNamespace(
        status_line=status_line,
        fields=fields,
        body=body,
        end=end,
        cut=cut or (lambda head, data: data),
        pause_seconds=RESET_DELAY_SECONDS if end == "resets" else 0.0,
    )


@when("the next target answers {status_line} with {fields}, {body}, and {end}")
def prepare_answer(context, status_line, fields, body, end):
    @plan_step(context)
    async def step(world):
        answer = make_answer(status_line.encode(), FIELDS[fields], BODIES[body], end)
        world.raw_answers.append(answer)


@when("a client sends {request}, and then looks an order up over the same connection")
def call_twice(context, request):
    @plan_step(context)
    async def step(world):
        conn = await tcp.make().dial(world.callers, 1.0)
        world.answer = await world.call_over(conn, *REQUESTS[request])
        assert world.answer.is_whole, world.answer
        conn.machine.start_next_cycle()
        world.next_answer = await world.call_over(conn, "/status/x", method="GET")
        await conn.close()


@when("a client sends {request} over a connection of its own")
def call_once(context, request):
    @plan_step(context)
    async def step(world):
        conn = await tcp.make().dial(world.callers, 1.0)
        world.answer = await world.call_over(conn, *REQUESTS[request], may_break_off=True)
        await conn.close()


@then("it gets {body} with status {status:d} and its length")
def check_answer(context, body, status):
    @plan_step(context)
    async def step(world):
        answer = world.answer
        assert (answer.status, answer.body) == (status, BODIES[body]), answer
        assert answer.headers.get("content-length") == str(len(answer.body)), answer.headers.pairs
        assert answer.headers.get("replica-signature"), answer.headers.pairs


@then("it gets an empty one with status {status:d}")
def check_empty(context, status):
    @plan_step(context)
    async def step(world):
        assert (world.answer.status, world.answer.body) == (status, b""), world.answer
        assert world.answer.headers.get("replica-signature"), world.answer.headers.pairs


@then('it gets an answer with status {status:d} and length "{length}"')
@then('it gets an answer with status {status:d} and length ""')
def check_length(context, status, length=""):
    @plan_step(context)
    async def step(world):
        assert (world.answer.status, world.answer.body) == (status, b""), world.answer
        pairs = world.answer.headers.pairs
        assert world.answer.headers.get("content-length") == length, pairs


@then("it gets its answer of status {status:d} from the entry or another target")
def check_replaced(context, status):
    @plan_step(context)
    async def step(world):
        assert world.answer.status == status, world.answer
        if status == 200:
            assert world.answer.body == b"done", world.answer
        else:
            assert not world.answer.headers.get("replica-signature"), world.answer.headers.pairs


@then('the next answer is "{body}" with status {status:d}')
def check_next(context, body, status):
    @plan_step(context)
    async def step(world):
        answer = world.next_answer
        assert (answer.status, answer.body) == (status, body.encode()), answer
        assert answer.is_whole, answer


@then("{count:d} requests arrived")
def check_arrivals(context, count):
    @plan_step(context)
    async def step(world):
        assert len(world.arrivals) == count, world.arrivals


@then("the second send went on after event {last:d}")
def check_resumed(context, last):
    @plan_step(context)
    async def step(world):
        first, second = world.arrivals[0], world.arrivals[1]
        assert first[0] != second[0], "the same target was asked again"
        assert first[1].get("attempt-id") == second[1].get("attempt-id")
        assert int(second[1].get("last-event-id") or 0) == last, second[1].pairs


@then("it gets {count:d} events without an end")
def check_broken_off(context, count):
    @plan_step(context)
    async def step(world):
        answer = world.answer
        assert answer.body == make_events(1, count), answer
        assert not answer.is_whole, "the answer looks complete"
