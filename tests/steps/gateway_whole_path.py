"""Steps for requests through an entry; they are collected, and the last one runs them all."""

from __future__ import annotations

import math

import trio
from behave import given, then, when
from prometheus_client import parser
from steps import platform_world

from galenavane.gateway import boot_clock, peers
from galenavane.net import connection_pool, message, tcp

SCENARIO_SECONDS = 30


@given("a platform with {domains:d} domains of {size:d} targets, and an entry")
def plan_scenario(context, domains, size):
    """Start to collect the steps of a scenario."""
    context.planned_steps = []
    context.world_size = (domains, size)


@then("all these steps succeed")
def run_scenario(context):
    """Run the collected steps against a fresh platform."""

    async def main():
        with trio.fail_after(SCENARIO_SECONDS):
            async with trio.open_nursery() as nursery:
                world = platform_world.World(nursery, context.folder)
                await world.start(*context.world_size)
                for step in context.planned_steps:
                    await step(world)
                nursery.cancel_scope.cancel()

    trio.run(main)


def plan_step(context):
    """Return a decorator that adds a function to the collected steps."""
    return context.planned_steps.append


@when("a client asks for a stream of {count:d} events")
def ask_stream(context, count):
    context.event_actions = []

    @plan_step(context)
    async def step(world):
        def take(seen):
            for action in context.event_actions:
                action(world, seen)
            return False

        world.answer = await world.call("/model/x", count, take=take)


@when("a member of its group dies after {count:d} events")
def kill_member(context, count):
    def action(world, seen):
        if seen == count and not getattr(world, "killed_member", ""):
            head = world.targets[world.arrivals[-1][0]]
            world.killed_member = head.members[2]
            world.targets[world.killed_member].kill()

    context.event_actions.append(action)


@then("it gets events 1 to {count:d} and the end")
def check_events(context, count):
    @plan_step(context)
    async def step(world):
        expected_body = b"".join(
            b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, count + 1)
        )
        assert world.answer.status == 200 and world.answer.is_whole, world.answer
        assert world.answer.body == expected_body, world.answer.body


@then('the target received account "{account}" and no key')
def check_account(context, account):
    @plan_step(context)
    async def step(world):
        fields = world.arrivals[-1][1]
        assert fields.get("tenant") == account and not fields.get("authorization")


@then("both domains serve again within {seconds:d} s")
def check_serving_again(context, seconds):
    @plan_step(context)
    async def step(world):
        await world.wait_serving(2, seconds)


@when("a head closes the connection in the middle of event {number:d} once")
def break_heads(context, number):
    @plan_step(context)
    async def step(world):
        world.break_at = number


@when("a client asks for a stream of {count:d} events and leaves after {leave:d}")
def ask_and_leave(context, count, leave):
    @plan_step(context)
    async def step(world):
        await world.call("/model/x", count, take=lambda seen: seen >= leave)
        world.client_left_at = trio.current_time()


@then("its target notices within {seconds:g} s")
def check_notices(context, seconds):
    @plan_step(context)
    async def step(world):
        with trio.fail_after(seconds):
            while not world.left_at:
                await trio.sleep(0.01)


@when("plain targets close the connection after reading a request")
def close_always(context):
    set_fault(context, "always")


@when("plain targets close the connection after reading a request once")
def close_once(context):
    set_fault(context, "once")


@when("plain targets refuse")
def refuse(context):
    set_fault(context, "refuse")


def set_fault(context, fault):
    """Make the targets without replica groups fail from now on."""

    @plan_step(context)
    async def step(world):
        world.plain_fault = fault


@when("a client places an order")
def place_order(context):
    @plan_step(context)
    async def step(world):
        world.answer = await world.call("/order/x")


@when("a client looks an order up")
def look_up(context):
    @plan_step(context)
    async def step(world):
        world.answer = await world.call("/status/x", method="GET")


@then("it gets status {status:d}")
def check_status(context, status):
    @plan_step(context)
    async def step(world):
        assert world.answer.status == status, world.answer


@then("the order arrived once")
def check_arrived_once(context):
    @plan_step(context)
    async def step(world):
        assert len(world.arrivals) == 1, world.arrivals


@when("the configuration removes the key and adds a public route")
def change_config(context):
    @plan_step(context)
    async def step(world):
        world.routes.append(world.route("/new/", "idempotent", "desk", public=True))
        world.publish_config(["another"])


async def expect_status(world, path, status, seconds):
    """Send requests until one gets the expected status."""
    seen_status = math.nan
    with trio.move_on_after(seconds):
        while seen_status != status:
            seen_status = (await world.call(path)).status
            await trio.sleep(0.02)
    assert seen_status == status, seen_status


@then("within {seconds:d} s a client that places an order gets status {status:d}")
@then(
    "within {seconds:d} s after the store is back a client that places an order "
    "gets status {status:d}"
)
def check_order(context, seconds, status):
    @plan_step(context)
    async def step(world):
        world.store.is_away = False
        await expect_status(world, "/order/x", status, seconds)


@then("within {seconds:d} s a client on the public route gets status {status:d}")
def check_public(context, seconds, status):
    @plan_step(context)
    async def step(world):
        await expect_status(world, "/new/x", status, seconds)


@when("the store is unavailable for {seconds:d} s")
def stop_store(context, seconds):
    @plan_step(context)
    async def step(world):
        world.store.is_away = True
        await trio.sleep(seconds)


@then("a client that places an order gets status {status:d} and a retry-after time")
def check_refused(context, status):
    @plan_step(context)
    async def step(world):
        answer = await world.call("/order/x")
        assert answer.status == status and float(answer.headers.get("retry-after")) > 0, answer


@when("a plain target is leaving")
def leave_target(context):
    @plan_step(context)
    async def step(world):
        world.targets["p0"].is_leaving = True
        world.targets["p0"].publish()
        await trio.sleep(0.3)


@then("{count:d} orders all go to the other plain target")
def check_other_target(context, count):
    @plan_step(context)
    async def step(world):
        for _ in range(count):
            assert (await world.call("/order/x")).status == 200
        assert {name for name, _ in world.arrivals} == {"p1"}


@then("the metrics page shows {count:d} requests, a first event under 1 s and {groups:d} groups")
def check_metrics(context, count, groups):
    @plan_step(context)
    async def step(world):
        await trio.sleep(1.1)
        client = connection_pool.make(tcp.make())
        req = message.Request("GET", "/metrics")
        page = await client.send(world.readiness, req, 1.0, 1_000_000)
        samples = {}
        for family in parser.text_string_to_metric_families(page.body.decode()):
            for sample in family.samples:
                samples.setdefault(sample.name, []).append((sample.labels, sample.value))
        assert sum(value for _, value in samples["galenavane_requests_total"]) == count, samples
        buckets = [
            value
            for labels, value in samples["galenavane_first_event_seconds_bucket"]
            if labels["le"] in ("1.0", "1")
        ]
        assert sum(buckets) == 1, samples["galenavane_first_event_seconds_bucket"]
        assert sum(value for _, value in samples["galenavane_groups_serving"]) == groups, samples


@when("the entry chooses a relay with a wide link and drops it")
def drop_relay(context):
    @plan_step(context)
    async def step(world):
        now = boot_clock.now()
        peer = peers.make_peer("wide", "127.0.0.1:1", "dc", 1e6, now)
        world.entry.peers["wide"] = peer
        assert world.entry.choose_own_relays(now + 1.0)[0] == "wide"
        world.entry.drop_peer("wide")


@then("it does not choose that relay again")
def check_not_chosen(context):
    @plan_step(context)
    async def step(world):
        assert world.entry.choose_own_relays(boot_clock.now() + 1.0) == ["e1"]
