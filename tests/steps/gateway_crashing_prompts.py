"""Steps for prompts that crash targets."""

from __future__ import annotations

import json
import random
import types

import trio
from behave import then, when
from prometheus_client import parser
from steps import gateway_whole_path

from galenavane.net import connection_pool, message, tcp, transport_error

plan_step = gateway_whole_path.plan_step
EVENTS = 8


def make_prompt(parts):
    """Encode parts of a prompt, and a last one that belongs to the request itself."""
    shared = "".join(f"{part}:20," for part in parts.split())
    return f"{shared}{random.getrandbits(48):x}:9"


async def send(world, parts):
    """Send a request with these parts, and return its response, also one that is broken off."""
    conn = await tcp.make().dial(world.callers, 1.0)
    try:
        return await world.call_over(
            conn, "/model/x", EVENTS, may_break_off=True, prompt=make_prompt(parts)
        )
    finally:
        await conn.close()


@when('prompts with part "{part}" crash the head that writes an answer to them')
def make_deadly(context, part):
    @plan_step(context)
    async def step(world):
        world.deadly_parts.add(part)


@when("heads that crash first send {beginning}")
def begin_answers(context, beginning):
    @plan_step(context)
    async def step(world):
        world.crash_answer = beginning


@then("no answer looks complete")
def check_incomplete(context):
    @plan_step(context)
    async def step(world):
        complete = [answer for answer in world.answers if answer.status == 200 and answer.is_whole]
        assert not complete, complete


@when('clients send {count:d} requests with parts "{parts}", one after the other')
def send_in_turn(context, count, parts):
    @plan_step(context)
    async def step(world):
        world.answers = [await send(world, parts) for _ in range(count)]


@when('a client sends a request with parts "{parts}"')
def send_one(context, parts):
    @plan_step(context)
    async def step(world):
        world.answer = await send(world, parts)


@when("heads drop the next {count:d} answers")
def drop_answers(context, count):
    @plan_step(context)
    async def step(world):
        world.dropped_answers = count


@when('clients send requests with parts "{deadly}", "{one}" and "{other}" at once')
def send_at_once(context, deadly, one, other):
    @plan_step(context)
    async def step(world):
        world.answers_by_parts = {}

        async def run(parts):
            answers = world.answers_by_parts.setdefault(parts, [])
            while len(answers) < 2 and (not answers or answers[-1].status != 200):
                try:
                    answers.append(await send(world, parts))
                except transport_error.TransportError:
                    answers.append(types.SimpleNamespace(status=0, is_whole=False))

        async with trio.open_nursery() as nursery:
            for parts in (deadly, one, other):
                nursery.start_soon(run, parts)


@then('the requests with parts "{one}" and "{other}" are served within 2 tries')
def check_served(context, one, other):
    @plan_step(context)
    async def step(world):
        for parts in (one, other):
            answers = world.answers_by_parts[parts]
            assert answers[-1].status == 200 and answers[-1].is_whole, (parts, answers)


@then("{count:d} heads have crashed")
def check_crashed(context, count):
    @plan_step(context)
    async def step(world):
        assert len(world.crashed) == count, world.crashed


class RefusingNetwork:
    """Opens connections, except to an address that refuses them."""

    def __init__(self, refused):
        self.refused = refused

    async def dial(self, address, timeout_seconds):
        """Open a connection."""
        if str(address) == self.refused:
            kind = transport_error.Kind.NOT_CONNECTED
            raise transport_error.TransportError(kind, False, "refused")
        return await tcp.make().dial(address, timeout_seconds)


@when(
    "during a stream of {count:d} events its head drops another answer and accepts no more "
    "connections"
)
def drop_and_refuse(context, count):
    @plan_step(context)
    async def step(world):
        async def run_stream():
            world.answer = await world.call("/model/x", count, prompt=make_prompt("first"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_stream)
            await trio.sleep(0.3)
            head = world.targets[world.arrivals[0][0]]
            world.dropped_answers = 1
            nursery.start_soon(send, world, "second")
            while world.dropped_answers:
                await trio.sleep(0)
            world.entry.net = RefusingNetwork(head.published_address)


@then("no group was reported as lost")
def check_none_lost(context):
    @plan_step(context)
    async def step(world):
        assert len(world.arrivals) == 2, world.arrivals
        assert not world.entry.known_stalls, world.entry.known_stalls


@then("{count:d} groups serve again within {seconds:d} s")
def check_serving_again(context, count, seconds):
    @plan_step(context)
    async def step(world):
        await world.wait_serving(count, seconds)


@then("the last {count:d} requests were refused as not run, with code 2008 and no time to retry")
def check_refused(context, count):
    @plan_step(context)
    async def step(world):
        for answer in world.answers[-count:]:
            assert answer.status == 503, answer
            assert not answer.headers.get("retry-after"), answer
            error = json.loads(answer.body)["error"]
            assert (error["code"], error["outcome"]) == (2008, "not_run"), error
            assert error["retry_after_seconds"] is None, error


@then("the metrics page counts {count:d} blocked part")
def check_metric(context, count):
    @plan_step(context)
    async def step(world):
        client = connection_pool.make(tcp.make())
        request = message.Request("GET", "/metrics")
        page = await client.send(world.readiness, request, 1.0, 1_000_000)
        values = [
            sample.value
            for family in parser.text_string_to_metric_families(page.body.decode())
            for sample in family.samples
            if sample.name == "galenavane_blocked_parts_total"
        ]
        assert values == [count], values
