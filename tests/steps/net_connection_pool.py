"""Steps for the connection pool, over the in-memory network."""

from __future__ import annotations

import trio
from behave import then

from galenavane.net import address, connection_pool, message, transport_error
from galenavane.simulate import memory_network, simulated_process, virtual_clock

WHERE = address.Address("10.0.0.1", 80)
TIMEOUT_SECONDS = 1.0
LIMIT_BYTES = 1000


def run_on_network(scenario):
    """Run a scenario with a target that responds and a pool that counts its connections."""

    async def main():
        network = memory_network.MemoryNetwork(0.0005)
        target = simulated_process.SimulatedProcess("target")
        dialed = []

        async def handle(exchange):
            await exchange.respond(message.json_response(200, len(dialed)))

        entry_network = network.attach_process(simulated_process.SimulatedProcess("entry"))

        class CountingDialer:
            async def dial(self, target_address, timeout_seconds):
                assert timeout_seconds >= 0, "trio refuses a negative time"
                dialed.append(target_address)
                return await entry_network.dial(target_address, timeout_seconds)

        async with trio.open_nursery() as nursery:
            await nursery.start(network.attach_process(target).listen, WHERE, handle)
            await scenario(network, target, connection_pool.make(CountingDialer()), dialed)
            nursery.cancel_scope.cancel()

    virtual_clock.run(main, 1)


async def call(pool):
    """Send one request and return the elapsed seconds."""
    before = trio.current_time()
    answer = await pool.send(WHERE, message.Request("GET", "/"), TIMEOUT_SECONDS, LIMIT_BYTES)
    assert answer.status == 200
    return trio.current_time() - before


@then("{count:d} requests over pooled connections open 1 connection")
def call_in_row(context, count):
    async def scenario(network, target, pool, dialed):
        for _ in range(count):
            await call(pool)
        assert len(dialed) == 1

    run_on_network(scenario)


@then(
    "a request over a pooled connection that {fault} succeeds over a new one within {seconds:f} s"
)
def call_over_bad(context, fault, seconds):
    async def scenario(network, target, pool, dialed):
        await call(pool)
        for pair in network.open_connections:
            if fault == "was reset":
                pair[0].reset()
            else:
                pair[0].is_silent = True
        assert await call(pool) <= seconds
        assert len(dialed) == 2

    run_on_network(scenario)


@then("a request over a pooled connection to a frozen target fails with silent after 1 s")
def call_frozen(context):
    async def scenario(network, target, pool, dialed):
        await call(pool)
        target.freeze()
        before = trio.current_time()
        try:
            await call(pool)
        except transport_error.TransportError as exc:
            assert exc.kind is transport_error.Kind.SILENT and exc.has_sent_bytes
        else:
            raise AssertionError("a frozen target answered")
        assert abs(trio.current_time() - before - TIMEOUT_SECONDS) < 0.01

    run_on_network(scenario)


@then("a request that may spend its whole timeout on a silent connection fails in time")
def call_all_on_kept(context):
    async def scenario(network, target, pool, dialed):
        await call(pool)
        for pair in network.open_connections:
            pair[0].is_silent = True
        req = message.Request("GET", "/")
        before = trio.current_time()
        try:
            # A real clock advances slightly between the timeout and the next step.
            await pool.send(WHERE, req, TIMEOUT_SECONDS, LIMIT_BYTES, reuse_share=1.001)
        except transport_error.TransportError:
            pass
        else:
            raise AssertionError("a silent connection answered")
        assert abs(trio.current_time() - before - TIMEOUT_SECONDS) < 0.01

    run_on_network(scenario)


@then("a request that is not allowed any more is not sent over a {connection} connection")
def call_not_allowed(context, connection):
    async def scenario(network, target, pool, dialed):
        if connection == "pooled":
            await call(pool)
        handled_before = len(dialed)
        req = message.Request("GET", "/")
        try:
            await pool.send(WHERE, req, TIMEOUT_SECONDS, LIMIT_BYTES, is_allowed=lambda: False)
        except transport_error.TransportError as exc:
            assert exc.kind is transport_error.Kind.NOT_ALLOWED and not exc.has_sent_bytes
        else:
            raise AssertionError("the request was sent")
        assert len(dialed) - handled_before == (1 if connection == "new" else 0)

    run_on_network(scenario)
