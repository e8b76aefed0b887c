"""Steps for the planned stop of an entry, in a simulated deployment."""

from __future__ import annotations

import msgspec
import trio
from behave import then
from simulate_deployment import make_request, simulate

from galenavane.net import message
from galenavane.standin import engine_text

STOP_SECONDS = 3.0
TOKENS = 120


@then("an entry that stops completes its stream, refuses new requests and hands over the lease")
def check_planned_stop(context):
    async def scenario(made):
        name = next(name for name, view in made.views.items() if view.token.value is not None)
        address, view, answers = made.entries[name], made.views[name], []
        body = {"model": "scribe", "prompt": "a long one", "max_tokens": TOKENS}
        long_request = make_request("POST", "/v1/completions", msgspec.json.encode(body))

        async def ask():
            answers.append(await made.call(address, long_request))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.3)
            made.stop_events[name].set()
            await trio.sleep(0.1)
            assert (await made.call(address, message.Request("GET", "/readyz"))).status == 503
            refusal = await made.call(address, long_request)
            assert refusal.status == 503 and b"not_run" in refusal.body, refusal
            assert not answers and view.active_requests.value == 1, "the stream has already ended"
            others = [one for other, one in made.views.items() if other != name]
            with trio.fail_after(STOP_SECONDS):
                while not all(knows_leaving(one, name) for one in others):
                    await trio.sleep(0.05)
                while all(one.token.value is None for one in others):
                    await trio.sleep(0.05)
            assert view.token.value is None
        text = msgspec.json.decode(answers[0].body)["choices"][0]["text"]
        assert text == engine_text.make_text("a long one", TOKENS)
        await trio.sleep(1)
        assert all(address != listening for listening in made.net.listeners)

    simulate(4, scenario)


def knows_leaving(view, name):
    """Whether an entry's view shows a peer as leaving."""
    return any(one.name == name and one.is_leaving for one in view.peers.value)
