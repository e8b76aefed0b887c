"""Steps for answers to streams that have begun and broke off."""

from __future__ import annotations

import types

import h11
from behave import then, when
from steps import gateway_unframed, gateway_whole_path, platform_world

from galenavane.net import tcp

plan_step = gateway_whole_path.plan_step


@when('a client that has {last:d} of {count:d} events asks for the rest at "{path}"')
def resume(context, last, count, path):
    @plan_step(context)
    async def step(world):
        conn = await tcp.make().dial(world.callers, 1.0)
        fields = [
            (b"host", b"h.example"),
            (b"attempt-id", b"resumed"),
            (b"deadline-ms", b"8000"),
            (b"authorization", b"Bearer " + platform_world.KEY.encode()),
            (b"model", platform_world.MODEL.encode()),
            (b"token-usage", b"10,%d" % count),
            (b"last-event-id", b"%d" % last),
            (b"content-length", b"0"),
        ]
        await conn.send(h11.Request(method="POST", target=path, headers=fields), h11.EndOfMessage())
        response = await conn.read_response_head()
        body = await conn.read_body(100_000)
        await conn.close()
        world.answer = types.SimpleNamespace(
            status=response.status, headers=response.headers, body=body
        )


@then('the target was asked to go on after event "{last}"')
def check_asked(context, last):
    @plan_step(context)
    async def step(world):
        sent = [fields.get("last-event-id") for _, fields in world.arrivals]
        assert sent == [last], sent


@then("it gets events {first:d} to {last:d} as the rest")
def check_rest(context, first, last):
    @plan_step(context)
    async def step(world):
        answer = world.answer
        assert (answer.status, answer.body) == (200, gateway_unframed.make_events(first, last))
