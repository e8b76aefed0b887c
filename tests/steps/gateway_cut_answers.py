"""Steps for answers that are cut in their head or in a framed body."""

from __future__ import annotations

import functools
import itertools

import trio
from behave import then, when
from steps import gateway_unframed, gateway_whole_path

from galenavane.net import tcp

plan_step = gateway_whole_path.plan_step
STEP_BYTES = {"closes": 3, "resets": 12}
RESET_DELAY_SECONDS = 0.01
OK = b"HTTP/1.1 200 OK"
TEXT = b"every part of it"


def make_framings(path):
    """Return header fields and bodies of a length, of chunks and of neither."""
    body = gateway_unframed.make_events(1, 8) if path in ("/model/x", "/once/x") else TEXT
    return [
        (b"Content-Length: %d\r\n" % len(body), body),
        (b"Transfer-Encoding: chunked\r\n", gateway_unframed.make_chunks(body)),
        (b"Content-Type: text/event-stream\r\n", body),
    ]


def prepare(world, fields, body, end, cut):
    """Prepare one answer, and leave enough of the budget for further sends."""
    answer = gateway_unframed.make_answer(OK, fields, body, end, cut)
    answer.pause_seconds = RESET_DELAY_SECONDS if end == "resets" else 0.0
    world.raw_answers.append(answer)
    for service in ("llm", "desk"):
        for _ in range(10):
            world.entry.get_send_budget(service).count_first(trio.current_time())


async def call(world, request):
    """Send a request over a connection of its own; return what arrived."""
    conn = await tcp.make().dial(world.callers, 1.0)
    try:
        return await world.call_over(conn, *gateway_unframed.REQUESTS[request], may_break_off=True)
    finally:
        await conn.close()


def cut_head(size, head, data):
    """Return the first bytes of a head, without its last one."""
    return data[: min(size, len(head) - 1)]


def cut_body(size, head, data):
    """Return a head and the first bytes of its body, without the last one."""
    return data[: min(len(head) + size, len(data) - 1)]


async def try_cuts(world, request, cut, sizes, framings, prelude=None):
    """Send the request once for each cut of each framing, and keep all answers."""
    world.answers = []
    for end, (fields, body) in itertools.product(STEP_BYTES, framings):
        for size in range(0, sizes(fields, body), STEP_BYTES[end]):
            world.raw_answers.clear()
            if prelude is not None:
                prepare(world, b"", prelude, "resets", lambda head, data: data)
            for _ in range(2):
                prepare(world, fields, body, end, functools.partial(cut, size))
            arrived = len(world.arrivals)
            answer = await call(world, request)
            sends = len(world.arrivals) - arrived
            world.answers.append((fields, size, sends, answer))


def head_sizes(fields, body):
    """Return a size that no head exceeds; cuts beyond the end of one are a byte short of it."""
    return len(OK + fields) + 80


def body_sizes(fields, body):
    """Return the size of a body."""
    return len(body) + 1


@when("targets cut each head of an answer to {request} in turn")
def cut_heads(context, request):
    @plan_step(context)
    async def step(world):
        framings = make_framings(gateway_unframed.REQUESTS[request][0])
        await try_cuts(world, request, cut_head, head_sizes, framings)


@when("targets cut each framed body of an answer to {request} in turn")
def cut_bodies(context, request):
    @plan_step(context)
    async def step(world):
        framings = make_framings(gateway_unframed.REQUESTS[request][0])[:2]
        await try_cuts(world, request, cut_body, body_sizes, framings)


@when("a stream breaks off after event 4, and its next head is cut in turn")
def cut_resumed(context):
    @plan_step(context)
    async def step(world):
        await try_cuts(
            world,
            "a request for 8 events",
            cut_head,
            head_sizes,
            make_framings("/model/x"),
            gateway_unframed.make_events(1, 4),
        )
        assert all(sends == 2 for _, _, sends, _ in world.answers), "a head was not cut"


@then("each client gets status 502 and nothing of the answer")
def check_failed(context):
    @plan_step(context)
    async def step(world):
        for fields, size, sends, answer in world.answers:
            assert sends > 0 and answer.status == 502, (fields, size, sends, answer)
            assert not answer.headers.get("replica-signature"), (fields, size, answer)


@then("each client gets status 502 or a part that has no end")
def check_part(context):
    @plan_step(context)
    async def step(world):
        for fields, size, sends, answer in world.answers:
            assert sends > 0, (fields, size)
            assert answer.status == 502 or not answer.is_whole, (fields, size, answer)


@then("each client gets {count:d} events without an end")
def check_begun(context, count):
    @plan_step(context)
    async def step(world):
        events = gateway_unframed.make_events(1, count)
        for fields, size, _, answer in world.answers:
            assert answer.body == events and not answer.is_whole, (fields, size, answer)
