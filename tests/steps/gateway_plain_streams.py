"""Steps for streams of services without replica groups."""

from __future__ import annotations

import trio
from behave import then, when
from steps import gateway_whole_path

from galenavane.net import tcp

plan_step = gateway_whole_path.plan_step


@when("a client asks for {count:d} events of a feed and notes when each one comes")
def note_times(context, count):
    @plan_step(context)
    async def step(world):
        world.event_times = []

        def take(seen):
            world.event_times += [trio.current_time()] * (seen - len(world.event_times))
            return False

        conn = await tcp.make().dial(world.callers, 1.0)
        world.answer = await world.call_over(conn, "/feed/x", count, take=take)
        await conn.close()
        assert len(world.event_times) == count, world.answer


@then("the first event came {seconds:g} s before the last one or earlier")
def check_times(context, seconds):
    @plan_step(context)
    async def step(world):
        lead_seconds = world.event_times[-1] - world.event_times[0]
        assert lead_seconds >= seconds, lead_seconds


@then("it gets a failure of status {status:d}")
def check_failure(context, status):
    @plan_step(context)
    async def step(world):
        assert world.answer.status == status, world.answer
        assert not world.answer.headers.get("replica-signature"), world.answer.headers.pairs
