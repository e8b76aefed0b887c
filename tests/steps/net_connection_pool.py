"""Steps for the connection pool, over the in-memory network."""

from __future__ import annotations

import trio
from behave import then

from galenavane.net import address, connection_pool, message, tcp, transport_error
from galenavane.simulate import memory_network, simulated_process, virtual_clock

WHERE = address.Address("10.0.0.1", 80)
TIMEOUT_SECONDS = 1.0
LIMIT_BYTES = 1000


class CountingDialer:
    """Opens connections and keeps them; its length is their number."""

    def __init__(self, network):
        self.network = network
        self.conns = []

    def __len__(self):
        return len(self.conns)

    async def dial(self, target_address, timeout_seconds):
        """Open a connection."""
        assert timeout_seconds >= 0, "trio refuses a negative time"
        self.conns.append(await self.network.dial(target_address, timeout_seconds))
        return self.conns[-1]


def run_on_network(scenario, raw_answer=None):
    """Run a scenario with a target that responds and a pool that counts its connections.

    :param raw_answer: called with a stream, in place of a response to a request.
    """

    async def main():
        network = memory_network.MemoryNetwork(0.0005)
        target = simulated_process.SimulatedProcess("target")
        entry_network = network.attach_process(simulated_process.SimulatedProcess("entry"))
        dialed = CountingDialer(entry_network)

        async def handle(exchange):
            if raw_answer is not None:
                await raw_answer(exchange.conn.stream)
                await exchange.conn.close()
            else:
                await exchange.respond(message.json_response(200, len(dialed)))

        async with trio.open_nursery() as nursery:
            await nursery.start(network.attach_process(target).listen, WHERE, handle)
            await scenario(network, target, connection_pool.make(dialed), dialed)
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


@then(
    "with {count:d} silent pooled connections one request that may spend its whole timeout fails, "
    "and the next is answered within {seconds:g} s"
)
def call_beside_silent(context, count, seconds):
    async def scenario(network, target, pool, dialed):
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(call, pool)
        for pair in network.open_connections:
            pair[0].is_silent = True
        req = message.Request("GET", "/")
        for is_answered in (False, True):
            before = trio.current_time()
            try:
                await pool.send(WHERE, req, TIMEOUT_SECONDS, LIMIT_BYTES, reuse_share=1.001)
            except transport_error.TransportError:
                assert not is_answered, "another silent connection was used"
            else:
                assert is_answered, "a silent connection answered"
                assert trio.current_time() - before <= seconds

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


BODIES = {
    "a body without a length": (b"\r\nwhole", b"whole"),
    "an empty body without a length": (b"\r\n", b""),
    "a length and a second answer": (
        b"Content-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
        b"whole",
    ),
    "a length and closes": (b"Content-Length: 5\r\nConnection: close\r\n\r\nwhole", b"whole"),
}


async def is_closed(conn):
    """Return whether this end of a connection was closed."""
    try:
        await conn.stream.send_all(b"x")
    except trio.ClosedResourceError:
        return True
    except trio.BrokenResourceError:
        return False
    return False


@then(
    "{count:d} requests that are answered over HTTP/{version} by {answer} are sent once each and "
    "leave no connection"
)
def call_unframed(context, count, version, answer):
    fields, body = BODIES[answer]

    async def send_answer(stream):
        await stream.send_all(b"HTTP/%b 200 OK\r\n" % version.encode() + fields)

    async def scenario(network, target, pool, dialed):
        tries = []
        for number in range(count):
            response = await pool.send(
                WHERE,
                message.Request("GET", "/"),
                TIMEOUT_SECONDS,
                LIMIT_BYTES,
                is_allowed=lambda: tries.append(1) is None,
            )
            assert (response.status, response.body) == (200, body), response
            assert len(tries) == len(dialed) == number + 1, (len(tries), len(dialed))
            assert await is_closed(dialed.conns[-1]), "the connection was kept"

    run_on_network(scenario, send_answer)


@then("a request that is answered by half of a body without a length and a reset fails")
def call_reset(context):
    async def send_answer(stream):
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        stream.reset()

    async def scenario(network, target, pool, dialed):
        try:
            await call(pool)
        except transport_error.TransportError as exc:
            assert exc.kind is transport_error.Kind.RESET and exc.has_sent_bytes
        else:
            raise AssertionError("half of an answer was taken as whole")
        assert await is_closed(dialed.conns[-1])

    run_on_network(scenario, send_answer)


@then(
    "{count:d} requests over TCP whose answers are followed by another after 20 ms "
    "get their own answers"
)
def call_before_late(context, count):
    fields, body = BODIES["a length and a second answer"]
    end = fields.index(body) + len(body)

    async def handle(exchange):
        stream = exchange.conn.stream
        await stream.send_all(b"HTTP/1.1 200 OK\r\n" + fields[:end])
        await trio.sleep(0.02)
        await stream.send_all(fields[end:])
        await stream.receive_some(1)

    async def main():
        async with trio.open_nursery() as nursery:
            net = tcp.make()
            bound = await nursery.start(net.listen, address.Address("127.0.0.1", 0), handle)
            pool = connection_pool.make(net)
            for _ in range(count):
                request = message.Request("GET", "/")
                response = await pool.send(bound, request, TIMEOUT_SECONDS, LIMIT_BYTES)
                assert response.body == body, response
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(main)
