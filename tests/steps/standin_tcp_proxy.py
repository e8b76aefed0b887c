"""Steps for the TCP proxy, over real sockets."""

from __future__ import annotations

import trio
from behave import then

from galenavane.net import address, message, round_trip, tcp, transport_error
from galenavane.standin import tcp_proxy

CALL_SECONDS = 5.0
LIMIT_BYTES = 10_000


def free_address():
    """Return an unused loopback address."""
    with trio.socket.socket() as sock:
        sock._sock.bind(("127.0.0.1", 0))
        return address.Address("127.0.0.1", sock.getsockname()[1])


async def call(target_address, req):
    """Return the status of the response, or the kind of transport error."""
    try:
        return (
            await round_trip.send(tcp.make(), target_address, req, CALL_SECONDS, LIMIT_BYTES)
        ).status
    except transport_error.TransportError as exc:
        return exc.kind


@then(
    "the proxy relays a response, resets it after {size:d} bytes and closes a connection when cut"
)
def relay(context, size):
    async def respond(exchange):
        await exchange.respond(message.json_response(200, {"text": "x" * 100}))

    async def main():
        listen, control = free_address(), free_address()
        async with trio.open_nursery() as nursery:
            target = await nursery.start(
                tcp.make().listen, address.Address("127.0.0.1", 0), respond
            )
            await nursery.start(tcp_proxy.run, tcp.make(), listen, target, control)
            outcomes = []
            for faults in (
                tcp_proxy.Faults(),
                tcp_proxy.Faults(cut_after_bytes=size),
                tcp_proxy.Faults(cut=True),
            ):
                assert await call(control, message.json_request("POST", "/faults", faults)) == 200
                outcomes.append(await call(listen, message.Request("GET", "/")))
            nursery.cancel_scope.cancel()
        return outcomes

    kinds = transport_error.Kind
    outcomes = trio.run(main)
    assert outcomes == [200, kinds.RESET, kinds.RESET], outcomes


async def set_faults(control, faults):
    """Replace the faults of the proxy."""
    assert await call(control, message.json_request("POST", "/faults", faults)) == 200


async def run_proxy(test):
    """Call a test with the proxy's address and its control address."""

    async def respond(exchange):
        await exchange.respond(message.json_response(200, {}))

    listen, control = free_address(), free_address()
    async with trio.open_nursery() as nursery:
        target = await nursery.start(tcp.make().listen, address.Address("127.0.0.1", 0), respond)
        await nursery.start(tcp_proxy.run, tcp.make(), listen, target, control)
        await test(listen, control)
        nursery.cancel_scope.cancel()


@then("a response is held for {seconds:g} s and then relayed")
def hold(context, seconds):
    async def test(listen, control):
        await set_faults(control, tcp_proxy.Faults(holds_bytes=True))
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:

            async def resume():
                await trio.sleep(seconds)
                await set_faults(control, tcp_proxy.Faults())

            nursery.start_soon(resume)
            assert await call(listen, message.Request("GET", "/")) == 200
        assert trio.current_time() >= began_at + seconds

    trio.run(run_proxy, test)


@then("attempts to connect time out for {seconds:g} s and succeed later")
def refuse_connections(context, seconds):
    async def test(listen, control):
        await set_faults(control, tcp_proxy.Faults(accepts_none=True))
        try:
            await tcp.make().dial(listen, seconds)
        except transport_error.TransportError as exc:
            assert exc.kind is transport_error.Kind.NOT_CONNECTED
            assert not exc.is_refused
        else:
            raise AssertionError("the connection was accepted")
        await set_faults(control, tcp_proxy.Faults())
        assert await call(listen, message.Request("GET", "/")) == 200

    trio.run(run_proxy, test)
