"""Checks control in a simulated deployment."""

from __future__ import annotations

import msgspec
import simulate_deployment as simulated
import trio
from behave import then

from galenavane.config import accept, declaration_files
from galenavane.control import table
from galenavane.entry import status as statuses
from galenavane.net import message
from galenavane.standin import engine_text, platform_faults
from galenavane.store import client

STREAMS = 6
STREAM_TOKENS = 150


async def activate_preset(deployment, preset):
    """Accept a preset, so that it is in force."""
    platform = client.make(deployment.operator, deployment.platform, 2.0)
    current = await accept.read_current(platform)
    declared = declaration_files.read_folder(simulated.EXAMPLES)
    accepted = await accept.accept(platform, current.ok, declared, preset)
    assert accepted.is_ok()


async def set_platform_faults(deployment, **faults):
    """Set the faults that the platform simulates."""
    body = platform_faults.Faults(**faults)
    await deployment.call(deployment.platform, message.json_request("POST", "/faults", body))


def find_holder(deployment):
    """Return the name of the entry that holds the lease, or an empty text."""
    holders = [name for name, view in deployment.views.items() if view.token.value is not None]
    assert len(holders) <= 1, holders
    return holders[0] if holders else ""


async def read_table(deployment):
    """Return the table that the platform stores."""
    platform = client.make(deployment.operator, deployment.platform, 2.0)
    stored = await platform.get(table.key("makole"))
    return table.decode(stored.ok.value)


@then("with seed {seed:d} a maintenance preset ends every stream whole and leaves one group")
def maintain(context, seed):
    async def ask(deployment, number):
        body = {"model": "scribe", "prompt": f"prompt {number}", "max_tokens": STREAM_TOKENS}
        req = simulated.make_request("POST", "/v1/completions", msgspec.json.encode(body))
        response = await deployment.call(deployment.entries[f"entry-{number % 3}"], req)
        assert response.status == 200, response
        text = msgspec.json.decode(response.body)["choices"][0]["text"]
        assert text == engine_text.make_text(f"prompt {number}", STREAM_TOKENS)

    async def scenario(deployment):
        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(ask, deployment, number)
                await trio.sleep(0.2)
            await activate_preset(deployment, "maintenance")
        await trio.sleep(15)
        for view in deployment.views.values():
            assert len(statuses.describe(view).groups) == 1

    ends = [event for event in simulated.capture(seed, scenario) if is_end(event)]
    assert len(ends) == STREAMS, ends
    assert not any(event["cut"] for event in ends), ends


def is_end(event):
    """Whether an event is the end of a stream at a target."""
    return event.get("message_type") == "target.end"


@then("with seed {seed:d} another entry holds the lease within a second of a planned stop")
def hand_over(context, seed):
    async def scenario(deployment):
        first = find_holder(deployment)
        deployment.stop_events[first].set()
        await trio.sleep(1)
        second = find_holder(deployment)
        assert second not in ("", first), second
        tokens = [deployment.views[name].token.value for name in (first, second)]
        assert tokens == [None, 2], tokens

    simulated.simulate(seed, scenario)


@then(
    "with seed {seed:d} a killed member is replaced during an outage"
    " and the table is kept after it"
)
def repair_in_outage(context, seed):
    async def scenario(deployment):
        await set_platform_faults(deployment, down=True)
        await trio.sleep(10)
        view = deployment.views[find_grant_owner(deployment)]
        before = view.tables.value["makole"]
        deployment.kill(before.groups[0].members[1].instance)
        await trio.sleep(15)
        status = statuses.describe(view)
        assert sum(group.complete for group in status.groups) == 2, status
        during = view.tables.value["makole"]
        assert during.serial > before.serial
        await set_platform_faults(deployment)
        await trio.sleep(10)
        after = await read_table(deployment)
        assert (after.token, after.groups) == (during.token, during.groups)
        await simulated.wait_for_groups(deployment, 2)

    simulated.simulate(seed, scenario)


def find_grant_owner(deployment):
    """Return the entry whose lease, even if lapsed, no other entry is known to have taken."""
    return next(name for name, view in deployment.views.items() if view.grant.value is not None)


@then(
    "with seed {seed:d} a holder that freezes for 20 seconds"
    " does not hold the lease when it wakes"
)
def freeze_holder(context, seed):
    async def scenario(deployment):
        first = find_holder(deployment)
        deployment.processes[first].freeze()
        await trio.sleep(20)
        others = [name for name in deployment.views if name != first]
        second = [name for name in others if deployment.views[name].token.value is not None]
        assert len(second) == 1, second
        deployment.processes[first].thaw()
        await trio.sleep(3)
        assert find_holder(deployment) == second[0]
        assert deployment.views[first].grant.value is None
        await simulated.wait_for_groups(deployment, 2)

    simulated.simulate(seed, scenario)
