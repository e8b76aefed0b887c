"""Steps for routing through real entries in a simulated deployment."""

from __future__ import annotations

import hashlib

import msgspec
import trio
from behave import then
from steps import simulate_deployment

from galenavane.config import declaration
from galenavane.net import headers, message
from galenavane.store import instance

LAG_SECONDS = 5.0
BUSY_REQUESTS = 150


def completion(key, tokens, deadline, priority=""):
    """Build a completion request with a deadline."""
    fields = headers.Headers().add("authorization", f"Bearer {key}")
    if priority:
        fields.add("x-priority", priority)
    fields.add("x-deadline-seconds", str(deadline))
    body = {"model": "scribe", "prompt": "p", "max_tokens": tokens}
    return message.Request("POST", "/v1/completions", fields, msgspec.json.encode(body))


async def send_many(deployment, count, tokens, deadline, key=simulate_deployment.KEY, priority=""):
    """Send requests concurrently through the first entry; return the responses."""
    answers = []

    async def send():
        req = completion(key, tokens, deadline, priority)
        answers.append(await deployment.call(deployment.entries["entry-0"], req))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(send)
    return answers


@then(
    "in a simulated deployment with seed {seed:d} a group with a leaving member gets no new request"
)
def leave_group(context, seed):
    async def scenario(deployment):
        view = deployment.views["entry-0"]
        group = view.tables.value["makole"].groups[0]
        leaving = next(
            listed for listed in view.instances.value if listed.name == group.members[1].instance
        )
        await deployment.register_instance(
            msgspec.structs.replace(leaving, state=instance.State.LEAVING)
        )
        await trio.sleep(LAG_SECONDS)
        for name in deployment.entries:
            await deployment.call(
                deployment.entries[name], completion(simulate_deployment.KEY, 4, 30)
            )
        return group.name, group.epoch

    events = []

    def record_event(event):
        events.append(event)

    simulate_deployment.eliot.add_destinations(record_event)
    try:
        name, epoch = simulate_deployment.simulate(seed, scenario)
    finally:
        simulate_deployment.eliot.remove_destination(record_event)
    sends = [event for event in events if event.get("message_type") == "request.send"]
    assert sends
    assert all((send["group"], send["epoch"]) != (name, epoch) for send in sends), sends


@then(
    "in a simulated deployment with seed {seed:d} an overload is refused early, not run and with a "
    "retry time"
)
def refuse_overload(context, seed):
    async def scenario(deployment):
        await send_many(deployment, 60, 40, 4.0)
        started = trio.current_time()
        refused = []

        async def send():
            sent_at = trio.current_time()
            response = await deployment.call(
                deployment.entries["entry-0"], completion(simulate_deployment.KEY, 60, 4.0)
            )
            if response.status != 200:
                refused.append((trio.current_time() - sent_at, response))

        async with trio.open_nursery() as nursery:
            while trio.current_time() - started < 4.0:
                nursery.start_soon(send)
                await trio.sleep(0.004)
        return refused

    refused = simulate_deployment.simulate(seed, scenario)
    assert refused
    for _, response in refused:
        error = msgspec.json.decode(response.body)["error"]
        assert error["outcome"] == "not_run", error
        assert error["retry_after_seconds"] >= 1.0, error
    assert min(waited for waited, _ in refused) < 0.1


@then(
    "in a simulated deployment with seed {seed:d} an account with few requests is answered "
    "beside a busy one"
)
def share_between_accounts(context, seed):
    async def scenario(deployment):
        current = deployment.views["entry-0"].configuration.value
        quiet = declaration.Account("quiet", hashlib.sha256(b"quiet-key").hexdigest())
        for view in deployment.views.values():
            declared = msgspec.structs.replace(
                current.declared, accounts=[*current.declared.accounts, quiet]
            )
            view.configuration.publish(type(current)(head=current.head, declared=declared))
        results = []

        async def send_busy():
            await send_many(deployment, BUSY_REQUESTS, 60, 30.0)

        async def send_quiet():
            await trio.sleep(0.5)
            started = trio.current_time()
            results.extend(await send_many(deployment, 5, 4, 30.0, key="quiet-key"))
            results.append(trio.current_time() - started)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_busy)
            nursery.start_soon(send_quiet)
        return results

    *answers, seconds = simulate_deployment.simulate(seed, scenario)
    assert [answer.status for answer in answers] == [200] * 5
    assert seconds < 2.0, seconds


@then(
    "in a simulated deployment with seed {seed:d} a request of default priority overtakes "
    "many of priority 5"
)
def overtake(context, seed):
    async def scenario(deployment):
        ended = []

        async def send(count, priority):
            await send_many(deployment, count, 60, 30.0, priority=priority)
            ended.append((priority, trio.current_time()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, BUSY_REQUESTS, "5")
            await trio.sleep(0.5)
            nursery.start_soon(send, 1, "")
        return ended

    ended = simulate_deployment.simulate(seed, scenario)
    assert [priority for priority, _ in ended] == ["", "5"], ended
    assert ended[1][1] - ended[0][1] > 1.0, ended
