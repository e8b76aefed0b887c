"""Steps for targets that say that they leave, or ask to be left alone."""

from __future__ import annotations

import json
import random

import trio
from behave import then, when
from prometheus_client import parser
from steps import gateway_whole_path, platform_world

from galenavane.gateway import peer_message, settings
from galenavane.net import address, connection_pool, message, tcp
from galenavane.peer import zmq_transport

plan_step = gateway_whole_path.plan_step
REQUESTS = {
    "orders": ("/order/x", 0, "POST"),
    "look-ups": ("/status/x", 0, "GET"),
    "feeds": ("/feed/x", 2, "POST"),
}


async def call_until_arrival(world, name, path="/order/x", events=0):
    """Send requests until one has arrived at a target."""
    with trio.fail_after(5):
        while name not in {arrival[0] for arrival in world.arrivals}:
            await world.call(path, events)
    world.arrivals.clear()


@when("nothing else happens")
def do_nothing(context):
    """Make the outline read well."""


@when("the store can't be reached")
def stop_store(context):
    @plan_step(context)
    async def step(world):
        world.store.is_away = True


@when('plain target "{name}" says in its answers that it leaves, and has answered once')
def say_leaving(context, name):
    @plan_step(context)
    async def step(world):
        world.targets[name].says_leaving = True
        await call_until_arrival(world, name)


@when('plain target "{name}" refuses, says that it leaves, and has answered once')
def refuse_leaving(context, name):
    @plan_step(context)
    async def step(world):
        world.targets[name].says_leaving = True
        world.targets[name].asks_to_wait = "0"
        await call_until_arrival(world, name)
        world.targets[name].asks_to_wait = ""


@when('the record of "{name}" changes and says that it is ready')
def change_record(context, name):
    @plan_step(context)
    async def step(world):
        world.targets[name].staged = ["another"]
        world.targets[name].publish()
        await trio.sleep(0.3)
        assert world.entry.registry.targets[name].staged == ("another",)


@when('"{name}" starts again under its id')
def start_again(context, name):
    @plan_step(context)
    async def step(world):
        restarted = world.targets[name]
        restarted.says_leaving = False
        restarted.born = random.randrange(10**12)
        restarted.publish()
        await trio.sleep(0.3)


@when('another entry reports that "{name}" leaves')
def report_leaving(context, name):
    @plan_step(context)
    async def step(world):
        peer = zmq_transport.make(address.Address(platform_world.HOST, platform_world.free_port()))
        report = peer_message.LeavingTarget("e2", name, world.targets[name].born)
        port = world.entry.cfg.get(settings.PEER_PORT)
        peer.send(f"{platform_world.HOST}:{port}", peer_message.encode(report))
        await trio.sleep(0.5)
        peer.close()


@then('{count:d} {requests} all go to plain target "{name}"')
def check_all_go(context, count, requests, name):
    @plan_step(context)
    async def step(world):
        for _ in range(count):
            answer = await world.call(REQUESTS[requests][0], *REQUESTS[requests][1:])
            assert answer.status == 200, answer
        assert {arrival[0] for arrival in world.arrivals} == {name}, world.arrivals
        world.arrivals.clear()


@then('for {seconds:g} s all {requests} go to plain target "{name}"')
def check_all_go_for(context, seconds, requests, name):
    @plan_step(context)
    async def step(world):
        ends_at = world.refused_at + seconds
        while trio.current_time() < ends_at:
            answer = await world.call(REQUESTS[requests][0], *REQUESTS[requests][1:])
            assert answer.status == 200, answer
        assert {arrival[0] for arrival in world.arrivals} == {name}, world.arrivals
        await trio.sleep(0.4)


@then('"{name}" gets one of the next {count:d} orders')
def check_gets_one(context, name, count):
    @plan_step(context)
    async def step(world):
        world.arrivals.clear()
        for _ in range(count):
            await world.call("/order/x")
        assert name in {arrival[0] for arrival in world.arrivals}, world.arrivals


@when("the head that gets the next stream says that it leaves")
def head_leaves(context):
    @plan_step(context)
    async def step(world):
        for head in world.serving():
            head.says_leaving = True
        world.all_heads = [head.name for head in world.serving()]

        def stop_saying(head, number):
            for each in world.all_heads:
                if each != head:
                    world.targets[each].says_leaving = False

        world.event_listeners.append(stop_saying)


@then("the second stream went to another head than the first")
def check_other_head(context):
    @plan_step(context)
    async def step(world):
        first, second = (arrival[0] for arrival in world.arrivals)
        assert first != second, world.arrivals


@when("both plain targets say that they leave, and have answered")
def both_leave(context):
    @plan_step(context)
    async def step(world):
        for name in ("p0", "p1"):
            world.targets[name].says_leaving = True
            await call_until_arrival(world, name)


@when('plain target "{name}" asks to be left alone for {seconds:g} s, and has refused once')
def ask_to_wait(context, name, seconds):
    @plan_step(context)
    async def step(world):
        world.targets[name].asks_to_wait = f"{seconds:g}"
        await call_until_arrival(world, name)
        world.refused_at = trio.current_time()
        world.targets[name].asks_to_wait = ""


@when("both plain targets ask to be left alone for {seconds:g} s, and have refused")
def both_ask(context, seconds):
    @plan_step(context)
    async def step(world):
        for name in ("p0", "p1"):
            world.targets[name].asks_to_wait = f"{seconds:g}"
            await call_until_arrival(world, name)
        for name in ("p0", "p1"):
            world.targets[name].asks_to_wait = ""


@when("all heads ask to be left alone for {seconds:g} s, and have refused")
def all_heads_ask(context, seconds):
    @plan_step(context)
    async def step(world):
        heads = [head.name for head in world.serving()]
        for name in heads:
            world.targets[name].asks_to_wait = f"{seconds:g}"
        with trio.fail_after(5):
            while {arrival[0] for arrival in world.arrivals} != set(heads):
                await world.call("/model/x", 2)


@when("one head asks to be left alone for {seconds:g} s, and has refused once")
def one_head_asks(context, seconds):
    @plan_step(context)
    async def step(world):
        head = world.serving()[0]
        head.asks_to_wait = f"{seconds:g}"
        await call_until_arrival(world, head.name, "/model/x", 2)
        world.refused_at = trio.current_time()
        world.asking = head.name
        world.groups_before = {each.group["name"] for each in world.serving()}


@then("for {seconds:g} s all streams go to the other head")
def check_streams(context, seconds):
    @plan_step(context)
    async def step(world):
        while trio.current_time() < world.refused_at + seconds:
            answer = await world.call("/model/x", 2)
            assert answer.status == 200, answer
        assert world.asking not in {arrival[0] for arrival in world.arrivals}


@then("both groups are kept")
def check_groups(context):
    @plan_step(context)
    async def step(world):
        assert {each.group["name"] for each in world.serving()} == world.groups_before


@then('the entry does not suspect "{name}"')
def check_not_suspected(context, name):
    @plan_step(context)
    async def step(world):
        assert not world.entry.is_suspect(name)


@when("a client sends an order")
def send_order(context):
    @plan_step(context)
    async def step(world):
        world.arrivals.clear()
        began_at = trio.current_time()
        world.answer = await world.call("/order/x")
        world.answer_seconds = trio.current_time() - began_at


@then("it is refused with status {status:d} as not run")
def check_refused(context, status):
    @plan_step(context)
    async def step(world):
        assert world.answer.status == status, world.answer
        assert json.loads(world.answer.body)["error"]["outcome"] == "not_run", world.answer


@then("no plain target got it")
def check_no_arrival(context):
    @plan_step(context)
    async def step(world):
        assert world.arrivals == [], world.arrivals
        assert world.answer_seconds < 0.5, world.answer_seconds


@then("it is told to come back in {low:g} to {high:g} s")
def check_retry_after(context, low, high):
    @plan_step(context)
    async def step(world):
        seconds = float(world.answer.headers.get("retry-after"))
        assert low <= seconds <= high, seconds


@then('the metrics page shows {count:d} target avoided because it is "{reason}"')
def check_metrics(context, count, reason):
    @plan_step(context)
    async def step(world):
        client = connection_pool.make(tcp.make())
        page = await client.send(
            world.readiness, message.Request("GET", "/metrics"), 1.0, 1_000_000
        )
        found = {
            sample.labels["reason"]: sample.value
            for family in parser.text_string_to_metric_families(page.body.decode())
            for sample in family.samples
            if sample.name == "galenavane_targets_avoided"
        }
        assert found[reason] == count, found
