"""Steps for requests that arrive while an entry stops."""

from __future__ import annotations

import json
import signal
import types

import trio
from behave import then, when
from steps import gateway_whole_path, platform_world

from galenavane.gateway import settings
from galenavane.net import tcp, transport_error

plan_step = gateway_whole_path.plan_step
HEAD = (
    b"POST /order/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: a1\r\ncontent-length: 5\r\n"
    b"authorization: Bearer " + platform_world.KEY.encode() + b"\r\n\r\n"
)
BODY = b"abcde"


class ChangedSettings:
    """The settings of an entry with one value replaced."""

    def __init__(self, cfg, setting, value):
        self._cfg = cfg
        self._setting = setting
        self._value = value

    def get(self, setting):
        return self._value if setting is self._setting else self._cfg.get(setting)


@when("the entry gets SIGTERM with a grace time of {seconds:d} s")
def stop_entry(context, seconds):
    @plan_step(context)
    async def step(world):
        world.entry.cfg = ChangedSettings(world.entry.cfg, settings.GRACE, seconds)
        world.killed_at = trio.current_time() + seconds
        world.ends = {}
        signal.raise_signal(signal.SIGTERM)


async def collect(world, name, parts):
    """Send parts of a request with pauses, and keep what the connection gives until its end."""
    conn = await tcp.make().dial(world.callers, 1.0)
    end = world.ends[name] = types.SimpleNamespace(data=b"", is_reset=False, at=0.0)
    try:
        for part, pause_seconds in parts:
            await conn.write(part)
            await trio.sleep(pause_seconds)
        while data := await conn.receive():
            end.data += data
    except (transport_error.TransportError, trio.BrokenResourceError):
        end.is_reset = True
    end.at = trio.current_time()
    await conn.close()


@when("clients send half a head, half a body and nothing {seconds:d} s later")
def send_halves(context, seconds):
    @plan_step(context)
    async def step(world):
        await trio.sleep(seconds)
        pause_seconds = 1.5
        middle = len(HEAD) // 2
        requests = {
            "half a head": [(HEAD[:middle], pause_seconds), (HEAD[middle:] + BODY, 0)],
            "half a body": [(HEAD + BODY[:2], pause_seconds), (BODY[2:], 0)],
            "never": [(HEAD, 0)],
            "idle": [],
        }
        for name, parts in requests.items():
            world.nursery.start_soon(collect, world, name, parts)


@when("the first two send the rest {seconds:g} s later, and another one never does")
def wait_for_ends(context, seconds):
    @plan_step(context)
    async def step(world):
        await trio.sleep(seconds)
        while not all(end.at for end in world.ends.values()):
            await trio.sleep(0.01)


def check_refusal(end):
    """Check that a connection ended with a refusal."""
    head, _, body = end.data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ") and b"connection: close" in head.lower(), end
    assert json.loads(body)["error"]["outcome"] == "not_run" and not end.is_reset, end


@then("the first two are refused as not run")
def check_halves(context):
    @plan_step(context)
    async def step(world):
        check_refusal(world.ends["half a head"])
        check_refusal(world.ends["half a body"])
        assert not world.arrivals


@then("the one that never sends the rest is refused as not run before the grace time ends")
def check_never(context):
    @plan_step(context)
    async def step(world):
        check_refusal(world.ends["never"])
        assert world.ends["never"].at < world.killed_at, world.ends["never"].at - world.killed_at


@then("the idle connection is closed without a reset, and the entry ends within its grace time")
def check_idle(context):
    @plan_step(context)
    async def step(world):
        idle = world.ends["idle"]
        assert idle.data == b"" and not idle.is_reset and idle.at < world.killed_at, idle
        with trio.fail_at(world.killed_at):
            while not await is_closed(world):
                await trio.sleep(0.05)


async def is_closed(world):
    """Return whether the entry listens no more."""
    try:
        conn = await tcp.make().dial(world.callers, 0.1)
    except transport_error.TransportError:
        return True
    await conn.close()
    return False


@when("a client sends an order and the entry gets SIGTERM with a grace time of {seconds:d} s")
def stop_beside_order(context, seconds):
    @plan_step(context)
    async def step(world):
        world.entry.cfg = ChangedSettings(world.entry.cfg, settings.GRACE, seconds)
        world.ends = {}
        world.nursery.start_soon(collect, world, "order", [(HEAD + BODY, 0)])
        while not world.arrivals:
            await trio.sleep(0.01)
        world.killed_at = trio.current_time() + seconds
        signal.raise_signal(signal.SIGTERM)
        while not world.ends["order"].at:
            await trio.sleep(0.01)


@then("the request gets status {status:d} with outcome unknown before the grace time ends")
def check_unanswered(context, status):
    @plan_step(context)
    async def step(world):
        end = world.ends["order"]
        head, _, body = end.data.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 %d " % status), end
        assert json.loads(body)["error"]["outcome"] == "unknown" and not end.is_reset, end
        assert end.at < world.killed_at, end.at - world.killed_at


@when("a target answers an order after {seconds:g} s")
def send_slow_order(context, seconds):
    @plan_step(context)
    async def step(world):
        world.plain_seconds = seconds
        world.order = None

        async def call():
            world.order = await world.call("/order/x")

        world.nursery.start_soon(call)
        await trio.sleep(0.3)


@when("it gets {signals} {seconds:g} s later")
def stop_again(context, signals, seconds):
    @plan_step(context)
    async def step(world):
        await trio.sleep(seconds)
        for name in signals.split():
            number = signal.Signals[name]
            handler = signal.getsignal(number)
            # The default action would end the tests.
            assert handler not in (signal.SIG_DFL, signal.default_int_handler), handler
            signal.raise_signal(number)
            await trio.sleep(0.1)


@then('the order is answered with "{body}"')
def check_order_answered(context, body):
    @plan_step(context)
    async def step(world):
        with trio.fail_after(4):
            while world.order is None:
                await trio.sleep(0.05)
        assert (world.order.status, world.order.body) == (200, body.encode()), world.order


@when("{seconds:g} s later the plain targets accept no connection for {pause:g} s")
def pause_targets(context, seconds, pause):
    @plan_step(context)
    async def step(world):
        await trio.sleep(seconds)
        names = [name for name, target in world.targets.items() if target.service == "desk"]
        world.silence(names, pause, is_reachable=False)


@when("the configuration has a route for quick orders")
def add_quick_route(context):
    @plan_step(context)
    async def step(world):
        world.routes.append(world.route("/quick/", "non_idempotent", "desk", timeout_ms=3000))
        world.publish_config([platform_world.KEY])
        await trio.sleep(0.3)


WAITING_REQUESTS = {
    "places an order": ("/order/x", 0),
    "places a quick order": ("/quick/x", 0),
    "looks an order up": ("/status/x", 0),
    "asks for a stream of a feed": ("/feed/x", 8),
}


@when("a client {request} that has to wait")
def send_waiting(context, request):
    path, events = WAITING_REQUESTS[request]

    @plan_step(context)
    async def step(world):
        began_at = trio.current_time()
        world.answer = await world.call(path, events)
        world.answer_seconds = trio.current_time() - began_at


@then("it is refused as not run within {seconds:g} s")
def check_refused_in_time(context, seconds):
    @plan_step(context)
    async def step(world):
        assert world.answer.status == 503, world.answer
        assert json.loads(world.answer.body)["error"]["outcome"] == "not_run", world.answer.body
        assert world.answer_seconds <= seconds, world.answer_seconds
