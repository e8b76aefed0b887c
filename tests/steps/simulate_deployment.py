"""Steps that run a whole simulated deployment."""

from __future__ import annotations

import contextlib
import pathlib
import random

import eliot
import msgspec
import trio
from behave import then

from galenavane.config import accept, declaration_files
from galenavane.entry import status as statuses
from galenavane.net import headers, message
from galenavane.simulate import deployment, virtual_clock
from galenavane.standin import engine_text
from galenavane.store import client

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent.parent / "examples" / "dodoma"
SETTLE_SECONDS = 30.0
KEY = "ward-office-key"


async def start(nursery, seed):
    """Start the demo's deployment and wait until its groups are complete."""
    made = deployment.Deployment(nursery, random.Random(seed))
    await made.start_platform()
    for number in range(6):
        await made.start_engine(f"engine-{number}", "makole", f"domain-{number // 3}")
    for number in range(3):
        await made.start_plain(f"desk-{number}", "makole", "order-desk")
    platform = client.make(made.operator, made.platform, 2.0)
    current = await accept.read_current(platform)
    accepted = await accept.accept(
        platform, current.ok, declaration_files.read_folder(EXAMPLES), "ordinary"
    )
    assert accepted.is_ok()
    for number in range(3):
        await made.start_entry(f"entry-{number}", "makole")
    await wait_complete(made, 2)
    return made


async def wait_complete(made, count):
    """Wait until every entry sees so many complete groups."""
    with trio.fail_after(SETTLE_SECONDS):
        while any(
            sum(group.complete for group in statuses.describe(view).groups) != count
            for view in made.views.values()
        ):
            await trio.sleep(0.1)


def request(method, path, body, key=""):
    """Build a caller's request."""
    fields = headers.Headers().add("authorization", f"Bearer {KEY}")
    if key:
        fields.add("idempotency-key", key)
    return message.Request(method, path, fields, body)


def simulate(seed, scenario):
    """Run a scenario on a started deployment."""

    async def main():
        async with trio.open_nursery() as nursery:
            made = await start(nursery, seed)
            result = await scenario(made)
            nursery.cancel_scope.cancel()
        return result

    return virtual_clock.run(main, seed)


@then("two simulated deployments with seed {seed:d} log the same events")
def compare_runs(context, seed):
    async def scenario(made):
        await trio.sleep(5)

    logs = [capture(seed, scenario) for _ in range(2)]
    assert len(logs[0]) > 10
    for one, two in zip(logs[0], logs[1], strict=True):
        assert one == two, (one, two)


def capture(seed, scenario):
    """Return the events of a run without eliot's own ids and times."""
    events = []

    def take(found):
        events.append({k: v for k, v in found.items() if k not in ("task_uuid", "timestamp")})

    eliot.add_destinations(take)
    with contextlib.ExitStack() as stack:
        stack.callback(eliot.remove_destination, take)
        simulate(seed, scenario)
    return events


@then("a simulated deployment with seed {seed:d} answers {count:d} completions through 3 entries")
def answer_completions(context, seed, count):
    async def scenario(made):
        for number in range(count):
            where = made.entries[f"entry-{number % 3}"]
            body = {"model": "scribe", "prompt": f"prompt {number}", "max_tokens": 8}
            answer = await made.call(
                where, request("POST", "/v1/completions", msgspec.json.encode(body))
            )
            assert answer.status == 200, answer
            text = msgspec.json.decode(answer.body)["choices"][0]["text"]
            assert text == engine_text.make_text(f"prompt {number}", 8)

    simulate(seed, scenario)


@then("a simulated deployment with seed {seed:d} runs a job once that two entries get at once")
def place_job(context, seed):
    async def scenario(made):
        statuses = []

        async def place(name):
            req = request("POST", "/services/order-desk/jobs", b"carafe 1", key="k1")
            statuses.append((await made.call(made.entries[name], req)).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(place, "entry-0")
            nursery.start_soon(place, "entry-1")
        assert sorted(statuses) in ([201, 201], [201, 409]), statuses
        ledgers = []
        for number in range(3):
            where = made.targets[f"desk-{number}"]
            answer = await made.call(where, message.Request("GET", "/ledger"))
            ledgers += msgspec.json.decode(answer.body)
        assert [line["job"] for line in ledgers] == ["carafe 1"]

    simulate(seed, scenario)


@then("a simulated deployment with seed {seed:d} forms its groups again after a member is killed")
def kill_member(context, seed):
    async def scenario(made):
        status = statuses.describe(made.views["entry-0"])
        made.kill(status.groups[0].members[1])
        await wait_complete(made, 1)
        await wait_complete(made, 2)

    simulate(seed, scenario)
