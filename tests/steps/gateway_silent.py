"""Steps for targets that fall silent for a while and go on."""

from __future__ import annotations

import collections

import trio
from behave import then, when
from steps import gateway_unframed, gateway_whole_path

from galenavane.net import tcp

plan_step = gateway_whole_path.plan_step
PATHS = {"be resumed": "/model/x", "run once": "/once/x"}


@when("{which} is silent for {seconds:g} s after event {number:d}, and {connections}")
def silence_after(context, which, seconds, number, connections):
    _plan_silence(context, which, seconds, connections, lambda next_number: next_number > number)


@when("a head is silent for {seconds:g} s after each {count:d} events, and {connections}")
def silence_repeatedly(context, seconds, count, connections):
    silenced_at = {0}

    def is_due(number):
        reached = (number - 1) // count * count
        is_new = reached not in silenced_at
        silenced_at.add(reached)
        return is_new

    _plan_silence(context, "a head", seconds, connections, is_due, is_repeated=True)


def _plan_silence(context, which, seconds, connections, is_due, is_repeated=False):
    """Silence targets when an event of any stream is due that meets a condition."""

    @plan_step(context)
    async def step(world):
        silenced = []

        def listen(head, number):
            if (silenced and not is_repeated) or not is_due(number):
                return
            members = world.targets[head].members
            heads = [member.name for member in world.serving() if member.members[0] == member.name]
            names = {"a head": [head], "a member": [members[2]], "every head": heads}[which]
            silenced.append(names)
            world.silence(names, seconds, connections == "accepts connections")

        world.event_listeners.append(listen)


@when("{count:d} clients ask for streams of {events:d} events that may {repeat}")
def ask_streams(context, count, events, repeat):
    @plan_step(context)
    async def step(world):
        world.answers = []
        began_at = trio.current_time()

        async def ask():
            conn = await tcp.make().dial(world.callers, 1.0)
            answer = await world.call_over(conn, PATHS[repeat], events, may_break_off=True)
            answer.seconds = trio.current_time() - began_at
            world.answers.append(answer)
            await conn.close()

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(ask)


@then("each gets events 1 to {count:d} and the end")
def check_whole(context, count):
    _plan_check(context, count, 30.0)


@then("each gets events 1 to {count:d} and the end within {seconds:g} s")
def check_whole_in_time(context, count, seconds):
    _plan_check(context, count, seconds)


def _plan_check(context, count, seconds):
    @plan_step(context)
    async def step(world):
        expected = gateway_unframed.make_events(1, count)
        for answer in world.answers:
            assert answer.status == 200, (answer.status, answer.body)
            assert answer.body == expected, (answer.is_whole, answer.body[-40:])
            assert answer.is_whole and answer.seconds <= seconds, answer.seconds


@then("no target was told to leave its group")
def check_kept(context):
    @plan_step(context)
    async def step(world):
        # A group is dissolved on the holder's next decisions at the latest.
        await trio.sleep(0.5)
        orders = [order for member in world.targets.values() for order in member.orders]
        assert not [order for order in orders if order["operation"] == "leave"]


@then("{heads:d} heads have got {count:d} requests each")
def check_spread(context, heads, count):
    @plan_step(context)
    async def step(world):
        counts = collections.Counter(name for name, _ in world.arrivals)
        assert sorted(counts.values()) == [count] * heads, counts
