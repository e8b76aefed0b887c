"""Steps that run a whole deployment in virtual time."""

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


async def start_deployment(nursery, seed):
    """Start a deployment with the example declarations and wait until its groups are complete."""
    simulation = deployment.Deployment(nursery, random.Random(seed))
    await simulation.start_platform()
    for number in range(6):
        await simulation.start_engine(f"engine-{number}", "makole", f"domain-{number // 3}")
    for number in range(3):
        await simulation.start_plain(f"desk-{number}", "makole", "order-desk")
    platform = client.make(simulation.operator, simulation.platform, 2.0)
    current = await accept.read_current(platform)
    accepted = await accept.accept(
        platform, current.ok, declaration_files.read_folder(EXAMPLES), "ordinary"
    )
    assert accepted.is_ok()
    for number in range(3):
        await simulation.start_entry(f"entry-{number}", "makole")
    await wait_for_groups(simulation, 2)
    return simulation


async def wait_for_groups(simulation, count):
    """Wait until every entry sees ``count`` complete groups."""
    with trio.fail_after(SETTLE_SECONDS):
        while any(
            sum(group.complete for group in statuses.describe(view).groups) != count
            for view in simulation.views.values()
        ):
            await trio.sleep(0.1)


def make_request(method, path, body, idempotency_key=""):
    """Build a caller's request."""
    fields = headers.Headers().add("authorization", f"Bearer {KEY}")
    if idempotency_key:
        fields.add("idempotency-key", idempotency_key)
    return message.Request(method, path, fields, body)


def simulate(seed, scenario):
    """Run a scenario on a started deployment and return its result."""

    async def main():
        async with trio.open_nursery() as nursery:
            simulation = await start_deployment(nursery, seed)
            result = await scenario(simulation)
            nursery.cancel_scope.cancel()
        return result

    return virtual_clock.run(main, seed)


@then("two simulated deployments with seed {seed:d} log the same events")
def compare_runs(context, seed):
    async def scenario(simulation):
        await trio.sleep(5)

    logs = [capture(seed, scenario) for _ in range(2)]
    assert len(logs[0]) > 10
    for first_event, second_event in zip(logs[0], logs[1], strict=True):
        assert first_event == second_event, (first_event, second_event)


def capture(seed, scenario):
    """Return the events of a run without the ids and timestamps that eliot adds."""
    events = []

    def record_event(logged):
        events.append({k: v for k, v in logged.items() if k not in ("task_uuid", "timestamp")})

    eliot.add_destinations(record_event)
    with contextlib.ExitStack() as stack:
        stack.callback(eliot.remove_destination, record_event)
        simulate(seed, scenario)
    return events


@then("a simulated deployment with seed {seed:d} answers {count:d} completions through 3 entries")
def answer_completions(context, seed, count):
    async def scenario(simulation):
        for number in range(count):
            address = simulation.entries[f"entry-{number % 3}"]
            body = {"model": "scribe", "prompt": f"prompt {number}", "max_tokens": 8}
            response = await simulation.call(
                address, make_request("POST", "/v1/completions", msgspec.json.encode(body))
            )
            assert response.status == 200, response
            text = msgspec.json.decode(response.body)["choices"][0]["text"]
            assert text == engine_text.make_text(f"prompt {number}", 8)

    simulate(seed, scenario)


@then("a simulated deployment with seed {seed:d} runs a job once that two entries get concurrently")
def place_job(context, seed):
    async def scenario(simulation):
        status_codes = []

        async def place(name):
            req = make_request(
                "POST", "/services/order-desk/jobs", b"carafe 1", idempotency_key="k1"
            )
            status_codes.append((await simulation.call(simulation.entries[name], req)).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(place, "entry-0")
            nursery.start_soon(place, "entry-1")
        assert sorted(status_codes) in ([201, 201], [201, 409]), status_codes
        job_runs = []
        for number in range(3):
            address = simulation.targets[f"desk-{number}"]
            response = await simulation.call(address, message.Request("GET", "/ledger"))
            job_runs += msgspec.json.decode(response.body)
        assert [job_run["job"] for job_run in job_runs] == ["carafe 1"]

    simulate(seed, scenario)


@then("a simulated deployment with seed {seed:d} forms its groups again after a member is killed")
def kill_member(context, seed):
    async def scenario(simulation):
        status = statuses.describe(simulation.views["entry-0"])
        simulation.kill(status.groups[0].members[1])
        await wait_for_groups(simulation, 1)
        await wait_for_groups(simulation, 2)

    simulate(seed, scenario)
