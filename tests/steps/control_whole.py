"""Steps that look at control in a simulated deployment."""

from __future__ import annotations

import msgspec
import simulate_deployment as simulated
import trio
from behave import then

from galenavane.config import accept, read
from galenavane.control import table
from galenavane.entry import status as statuses
from galenavane.net import message
from galenavane.standin import engine_text, platform_faults
from galenavane.store import client

STREAMS = 6
STREAM_TOKENS = 150


async def switch(made, preset):
    """Put a preset in force."""
    platform = client.make(made.operator, made.platform, 2.0)
    current = await accept.read_current(platform)
    declared = read.read_folder(simulated.EXAMPLES)
    accepted = await accept.accept(platform, current.ok, declared, preset)
    assert accepted.is_ok()


async def set_platform(made, **faults):
    """Change the platform's faults."""
    body = platform_faults.Faults(**faults)
    await made.call(made.platform, message.json_request("POST", "/faults", body))


def holder_of(made):
    """Return the name of the entry that holds the lease, or an empty text."""
    held = [name for name, view in made.views.items() if view.token.value is not None]
    assert len(held) <= 1, held
    return held[0] if held else ""


async def read_table(made):
    """Return the table that the platform keeps."""
    platform = client.make(made.operator, made.platform, 2.0)
    found = await platform.get(table.key("makole"))
    return table.decode(found.ok.value)


@then("with seed {seed:d} a maintenance preset ends every stream whole and leaves one group")
def maintain(context, seed):
    async def ask(made, number):
        body = {"model": "scribe", "prompt": f"prompt {number}", "max_tokens": STREAM_TOKENS}
        req = simulated.request("POST", "/v1/completions", msgspec.json.encode(body))
        answer = await made.call(made.entries[f"entry-{number % 3}"], req)
        assert answer.status == 200, answer
        text = msgspec.json.decode(answer.body)["choices"][0]["text"]
        assert text == engine_text.answer(f"prompt {number}", STREAM_TOKENS)

    async def scenario(made):
        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(ask, made, number)
                await trio.sleep(0.2)
            await switch(made, "maintenance")
        await trio.sleep(15)
        for view in made.views.values():
            assert len(statuses.describe(view).groups) == 1

    ends = [one for one in simulated.capture(seed, scenario) if is_end(one)]
    assert len(ends) == STREAMS, ends
    assert not any(one["cut"] for one in ends), ends


def is_end(event):
    """Whether an event is the end of a stream at a target."""
    return event.get("message_type") == "target.end"


@then("with seed {seed:d} another entry holds the lease within a second of a planned stop")
def hand_over(context, seed):
    async def scenario(made):
        first = holder_of(made)
        made.stops[first].set()
        await trio.sleep(1)
        second = holder_of(made)
        assert second not in ("", first), second
        tokens = [made.views[name].token.value for name in (first, second)]
        assert tokens == [None, 2], tokens

    simulated.simulate(seed, scenario)


@then(
    "with seed {seed:d} a killed member is replaced during an outage"
    " and the table is kept after it"
)
def repair_in_outage(context, seed):
    async def scenario(made):
        await set_platform(made, down=True)
        await trio.sleep(10)
        view = made.views[holder_of_grant(made)]
        before = view.tables.value["makole"]
        made.kill(before.groups[0].members[1].instance)
        await trio.sleep(15)
        status = statuses.describe(view)
        assert sum(group.complete for group in status.groups) == 2, status
        during = view.tables.value["makole"]
        assert during.serial > before.serial
        await set_platform(made)
        await trio.sleep(10)
        after = await read_table(made)
        assert (after.token, after.groups) == (during.token, during.groups)
        await simulated.wait_complete(made, 2)

    simulated.simulate(seed, scenario)


def holder_of_grant(made):
    """Return the name of the entry that nobody else is known to have followed."""
    return next(name for name, view in made.views.items() if view.grant.value is not None)


@then(
    "with seed {seed:d} a holder that freezes for 20 seconds"
    " does not hold the lease when it wakes"
)
def freeze_holder(context, seed):
    async def scenario(made):
        first = holder_of(made)
        made.owners[first].freeze()
        await trio.sleep(20)
        others = [name for name in made.views if name != first]
        second = [name for name in others if made.views[name].token.value is not None]
        assert len(second) == 1, second
        made.owners[first].thaw()
        await trio.sleep(3)
        assert holder_of(made) == second[0]
        assert made.views[first].grant.value is None
        await simulated.wait_complete(made, 2)

    simulated.simulate(seed, scenario)
