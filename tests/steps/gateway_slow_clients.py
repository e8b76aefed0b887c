"""Steps for clients that read their answers late."""

from __future__ import annotations

import h11
import trio
from behave import then, when
from steps import gateway_unframed, gateway_whole_path, platform_world

from galenavane.net import tcp, transport_error

plan_step = gateway_whole_path.plan_step
DEADLINE_MS = 800
READ_SECONDS = 5
LONG_BYTES = 12_000_000


@when("a client asks for a long answer to {request}, and reads it only after its deadline")
def read_late(context, request):
    @plan_step(context)
    async def step(world):
        answer = gateway_unframed.make_answer(b"HTTP/1.1 200 OK", b"", b"x" * LONG_BYTES, "closes")
        world.raw_answers.append(answer)
        conn = await tcp.make().dial(world.callers, 1.0)
        fields = [
            (b"host", b"h.example"),
            (b"attempt-id", b"slow"),
            (b"deadline-ms", b"%d" % DEADLINE_MS),
            (b"authorization", b"Bearer " + platform_world.KEY.encode()),
            (b"content-length", b"0"),
        ]
        path, _, method = gateway_unframed.REQUESTS[request]
        head = h11.Request(method=method, target=path, headers=fields)
        await conn.send(head, h11.EndOfMessage())
        await trio.sleep(2 * DEADLINE_MS / 1000)
        world.late_client = conn


@then("the answer is whole, or its connection is closed")
def check_end(context):
    @plan_step(context)
    async def step(world):
        conn = world.late_client
        with trio.fail_after(READ_SECONDS):
            await conn.read_response_head()
            try:
                body = await conn.read_body(20_000_000)
            except transport_error.TransportError:
                return
        assert len(body) == LONG_BYTES, len(body)
