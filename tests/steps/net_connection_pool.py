"""Steps for kept connections, over the network in memory."""

from __future__ import annotations

import trio
from behave import then

from galenavane.net import address, connection_pool, message, transport_error
from galenavane.simulate import clock, net, owner

WHERE = address.Address("10.0.0.1", 80)
TIMEOUT_SECONDS = 1.0
LIMIT_BYTES = 1000


def on_network(scenario):
    """Run a scenario with a target that answers and calls to it."""

    async def main():
        made = net.Net(0.0005)
        target = owner.Owner("target")
        dialled = []

        async def handle(exchange):
            await exchange.respond(message.json_response(200, len(dialled)))

        face = made.face(owner.Owner("entry"))

        class Counting:
            async def dial(self, where, timeout_seconds):
                assert timeout_seconds >= 0, "trio refuses a negative time"
                dialled.append(where)
                return await face.dial(where, timeout_seconds)

        async with trio.open_nursery() as nursery:
            await nursery.start(made.face(target).listen, WHERE, handle)
            await scenario(made, target, connection_pool.make(Counting()), dialled)
            nursery.cancel_scope.cancel()

    clock.run(main, 1)


async def call(kept):
    """Make one call and return the seconds it took."""
    before = trio.current_time()
    answer = await kept.send(WHERE, message.Request("GET", "/"), TIMEOUT_SECONDS, LIMIT_BYTES)
    assert answer.status == 200
    return trio.current_time() - before


@then("{count:d} calls over kept connections open 1 connection")
def call_in_row(context, count):
    async def scenario(made, target, kept, dialled):
        for _ in range(count):
            await call(kept)
        assert len(dialled) == 1

    on_network(scenario)


@then(
    "a call over a kept connection that {fault} is answered over a fresh one within {seconds:f} s"
)
def call_over_bad(context, fault, seconds):
    async def scenario(made, target, kept, dialled):
        await call(kept)
        for ends in made.open:
            if fault == "was reset":
                ends[0].reset()
            else:
                ends[0].silent = True
        assert await call(kept) <= seconds
        assert len(dialled) == 2

    on_network(scenario)


@then("a call over a kept connection to a frozen target fails as silent after 1 s")
def call_frozen(context):
    async def scenario(made, target, kept, dialled):
        await call(kept)
        target.freeze()
        before = trio.current_time()
        try:
            await call(kept)
        except transport_error.TransportError as exc:
            assert exc.kind is transport_error.Kind.SILENT and exc.has_sent_bytes
        else:
            raise AssertionError("a frozen target answered")
        assert abs(trio.current_time() - before - TIMEOUT_SECONDS) < 0.01

    on_network(scenario)


@then("a call that may spend all of its time on a kept silent connection fails in time")
def call_all_on_kept(context):
    async def scenario(made, target, kept, dialled):
        await call(kept)
        for ends in made.open:
            ends[0].silent = True
        req = message.Request("GET", "/")
        before = trio.current_time()
        try:
            # A real clock runs on a little between the end of the wait and the next step.
            await kept.send(WHERE, req, TIMEOUT_SECONDS, LIMIT_BYTES, reuse_share=1.001)
        except transport_error.TransportError:
            pass
        else:
            raise AssertionError("a silent connection answered")
        assert abs(trio.current_time() - before - TIMEOUT_SECONDS) < 0.01

    on_network(scenario)
