"""Steps that check routing through real entries in a simulated deployment."""

from __future__ import annotations

import hashlib

import msgspec
import trio
from behave import then
from steps import simulate_deployment as whole

from galenavane.config import declaration
from galenavane.net import headers, message
from galenavane.store import instance

LAG_SECONDS = 5.0
HOT_REQUESTS = 150


def completion(key, tokens, deadline, priority=""):
    """Build a completion request with a deadline."""
    fields = headers.Headers().add("authorization", f"Bearer {key}")
    if priority:
        fields.add("x-priority", priority)
    fields.add("x-deadline-seconds", str(deadline))
    body = {"model": "scribe", "prompt": "p", "max_tokens": tokens}
    return message.Request("POST", "/v1/completions", fields, msgspec.json.encode(body))


async def send_many(made, count, tokens, deadline, key=whole.KEY, priority=""):
    """Send requests at once through the first entry; return the answers."""
    answers = []

    async def send():
        req = completion(key, tokens, deadline, priority)
        answers.append(await made.call(made.entries["entry-0"], req))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(send)
    return answers


@then(
    "in a simulated deployment with seed {seed:d} a group with a leaving member gets no new request"
)
def leave_group(context, seed):
    async def scenario(made):
        view = made.views["entry-0"]
        group = view.tables.value["makole"].groups[0]
        old = next(one for one in view.instances.value if one.name == group.members[1].instance)
        await made.list_instance(msgspec.structs.replace(old, state=instance.State.LEAVING))
        await trio.sleep(LAG_SECONDS)
        for name in made.entries:
            await made.call(made.entries[name], completion(whole.KEY, 4, 30))
        return group.name, group.epoch

    events = []

    def take(found):
        events.append(found)

    whole.eliot.add_destinations(take)
    try:
        name, epoch = whole.simulate(seed, scenario)
    finally:
        whole.eliot.remove_destination(take)
    sends = [one for one in events if one.get("message_type") == "request.send"]
    assert sends
    assert all((one["group"], one["epoch"]) != (name, epoch) for one in sends), sends


@then(
    "in a simulated deployment with seed {seed:d} an overload is refused early, not run and with a "
    "retry time"
)
def refuse_overload(context, seed):
    async def scenario(made):
        await send_many(made, 60, 40, 4.0)
        started = trio.current_time()
        refused = []

        async def send():
            sent_at = trio.current_time()
            found = await made.call(made.entries["entry-0"], completion(whole.KEY, 60, 4.0))
            if found.status != 200:
                refused.append((trio.current_time() - sent_at, found))

        async with trio.open_nursery() as nursery:
            while trio.current_time() - started < 4.0:
                nursery.start_soon(send)
                await trio.sleep(0.004)
        return refused

    refused = whole.simulate(seed, scenario)
    assert refused
    for _, found in refused:
        error = msgspec.json.decode(found.body)["error"]
        assert error["outcome"] == "not_run", error
        assert error["retry_after_seconds"] >= 1.0, error
    assert min(waited for waited, _ in refused) < 0.1


@then("in a simulated deployment with seed {seed:d} a quiet account is answered beside a hot one")
def share_between_accounts(context, seed):
    async def scenario(made):
        current = made.views["entry-0"].configuration.value
        quiet = declaration.Account("quiet", hashlib.sha256(b"quiet-key").hexdigest())
        for view in made.views.values():
            declared = msgspec.structs.replace(
                current.declared, accounts=[*current.declared.accounts, quiet]
            )
            view.configuration.publish(type(current)(head=current.head, declared=declared))
        found = []

        async def hot():
            await send_many(made, HOT_REQUESTS, 60, 30.0)

        async def send_quiet():
            await trio.sleep(0.5)
            started = trio.current_time()
            found.extend(await send_many(made, 5, 4, 30.0, key="quiet-key"))
            found.append(trio.current_time() - started)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(hot)
            nursery.start_soon(send_quiet)
        return found

    *answers, seconds = whole.simulate(seed, scenario)
    assert [one.status for one in answers] == [200] * 5
    assert seconds < 2.0, seconds


@then("in a simulated deployment with seed {seed:d} a plain request overtakes many of priority 5")
def overtake(context, seed):
    async def scenario(made):
        ended = []

        async def send(count, priority):
            await send_many(made, count, 60, 30.0, priority=priority)
            ended.append((priority, trio.current_time()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, HOT_REQUESTS, "5")
            await trio.sleep(0.5)
            nursery.start_soon(send, 1, "")
        return ended

    ended = whole.simulate(seed, scenario)
    assert [priority for priority, _ in ended] == ["", "5"], ended
    assert ended[1][1] - ended[0][1] > 1.0, ended
