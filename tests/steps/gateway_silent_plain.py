"""Steps for targets without replica groups that fall silent for a while and go on."""

from __future__ import annotations

import collections
import json
import random
import types

import trio
from behave import then, when
from steps import gateway_whole_path, platform_world

from galenavane.route import send_budget

plan_step = gateway_whole_path.plan_step
NAMES = {"one plain target": ["p0"], "each plain target": ["p0", "p1"]}
PATHS = {"a look-up": ("/status/x", "GET"), "an order": ("/order/x", "POST")}


@when("requests have {seconds:g} s, and {count:d} plain targets are in use")
def prepare(context, seconds, count):
    @plan_step(context)
    async def step(world):
        for route in world.routes:
            route["timeout_ms"] = round(seconds * 1000)
        world.publish_config([platform_world.KEY])
        if count == 1:
            world.targets["p1"].is_leaving = True
            world.targets["p1"].publish()
        # The target that falls silent is the first choice.
        world.entry.target_in_flight["p1"] = 3
        with trio.fail_after(2.0):
            while world.entry.config_state.version < world.version or _count_usable(world) != count:
                await trio.sleep(0.01)


def _count_usable(world):
    targets = world.entry.registry.targets.values()
    return sum(found.service == "desk" and not found.is_leaving for found in targets)


@when("{which} sends nothing for {seconds:g} s")
def silence(context, which, seconds):
    @plan_step(context)
    async def step(world):
        world.silence(NAMES[which], seconds, is_reachable=True)


@when("{which} accepts no connection for {seconds:g} s")
def block_connections(context, which, seconds):
    @plan_step(context)
    async def step(world):
        world.silence(NAMES[which], seconds, is_reachable=False)


@when("{which} dies")
def kill(context, which):
    @plan_step(context)
    async def step(world):
        for name in NAMES[which]:
            world.targets[name].kill()


@when("no further sends are left in the budget")
def use_budget_up(context):
    @plan_step(context)
    async def step(world):
        world.entry.send_budgets["desk"] = send_budget.SendBudget(0.0, 0.0, 10.0)


@when("the next plain target refuses a request")
def refuse_once(context):
    _plan_answer(context, b"HTTP/1.1 503 Full", b"Not-Executed: 1\r\nContent-Length: 0\r\n")


@when("the next plain target breaks its answer off")
def break_off_once(context):
    _plan_answer(context, b"HTTP/1.1 200 OK", b"Content-Length: 4\r\n")


@when("the next plain target fails a request")
def fail_once(context):
    _plan_answer(context, b"HTTP/1.1 500 Failed", b"Content-Length: 0\r\n")


def _plan_answer(context, status_line, fields):
    """Prepare the answer of the plain target that answers next."""

    @plan_step(context)
    async def step(world):
        answer = types.SimpleNamespace(
            status_line=status_line, fields=fields, body=b"", end="closes", pause_seconds=0.0
        )
        world.raw_answers.append(answer)


@when("the plain target starts to leave after {seconds:g} s")
def leave(context, seconds):
    @plan_step(context)
    async def step(world):
        async def run():
            await trio.sleep(seconds)
            world.targets["p0"].is_leaving = True
            world.targets["p0"].publish()

        world.nursery.start_soon(run)


@when("a client sends {request} and waits")
def send(context, request):
    @plan_step(context)
    async def step(world):
        path, method = PATHS[request]
        sent_at = trio.current_time()
        world.answer = await world.call(path, method=method)
        world.seconds = trio.current_time() - sent_at


@when("a client sends {request} and leaves after {seconds:g} s")
def send_and_leave(context, request, seconds):
    @plan_step(context)
    async def step(world):
        path, method = PATHS[request]
        with trio.move_on_after(seconds):
            await world.call(path, method=method)


@then("it gets the target's answer after {low:g} to {high:g} s")
def check_answer(context, low, high):
    @plan_step(context)
    async def step(world):
        assert (world.answer.status, world.answer.body) == (200, b"done"), world.answer
        assert world.answer.is_whole and world.answer.headers.get("replica-signature")
        assert low <= world.seconds <= high, world.seconds


@then("it gets status {status:d} after {low:g} to {high:g} s")
def check_failure(context, status, low, high):
    @plan_step(context)
    async def step(world):
        assert world.answer.status == status, world.answer
        assert low <= world.seconds <= high, world.seconds
        if status == 503:
            assert float(world.answer.headers.get("retry-after")) > 0, world.answer.headers


@then("it was sent to {names}")
def check_sent_to(context, names):
    @plan_step(context)
    async def step(world):
        expected = [] if names == "no target" else names.split(" and ")
        assert [name for name, _ in world.arrivals] == expected, world.arrivals


@then("the connection to {name} was closed")
def check_closed(context, name):
    @plan_step(context)
    async def step(world):
        await trio.sleep(0.1)
        assert world.closed_early == [name], world.closed_early


@then("no connection was closed before its answer")
def check_kept(context):
    @plan_step(context)
    async def step(world):
        assert not world.closed_early, world.closed_early


@then("the connections to {first} and {second} were closed")
def check_both_closed(context, first, second):
    @plan_step(context)
    async def step(world):
        await trio.sleep(0.1)
        assert sorted(world.closed_early) == [first, second], world.closed_early


@then("it was sent once")
def check_sent_once(context):
    @plan_step(context)
    async def step(world):
        assert len(world.arrivals) == 1, world.arrivals


@when("{count:d} clients each send {request} while targets pause at random, seed {seed:d}")
def send_beside_pauses(context, count, request, seed):
    @plan_step(context)
    async def step(world):
        rng = random.Random(seed)
        path, method = PATHS[request]
        world.answers = []

        async def pause():
            while True:
                names = rng.choice([["p0"], ["p1"], ["p0", "p1"]])
                world.silence(names, rng.uniform(0.1, 1.3), is_reachable=rng.random() < 0.4)
                await trio.sleep(rng.uniform(0.1, 0.8))

        async def ask(delay):
            await trio.sleep(delay)
            world.answers.append(await world.call(path, method=method))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(pause)
            async with trio.open_nursery() as clients:
                for _ in range(count):
                    clients.start_soon(ask, rng.uniform(0.0, 4.0))
            nursery.cancel_scope.cancel()


@then("each arrived {limit:d} times at most, and never if it was refused")
def check_arrivals(context, limit):
    @plan_step(context)
    async def step(world):
        await trio.sleep(0.3)
        counts = collections.Counter(fields.get("attempt-id") for _, fields in world.arrivals)
        assert max(counts.values()) <= limit, counts
        refused = [answer.body for answer in world.answers if answer.status in (408, 421, 429, 503)]
        ids = {json.loads(body)["error"]["request_id"] for body in refused}
        assert len(ids) == len(refused) and not ids & counts.keys(), ids & counts.keys()


@then("at least {count:d} got the target's answer")
def check_answered(context, count):
    @plan_step(context)
    async def step(world):
        statuses = collections.Counter(answer.status for answer in world.answers)
        assert statuses[200] >= count, statuses
