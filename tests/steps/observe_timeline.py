"""Steps for the timeline and its clock."""

from __future__ import annotations

import io
import json

import eliot
import msgspec
import simulate_deployment
from behave import given, then, when

from galenavane.observe import clock, event_log, timeline

EVENT = {"hlc": "5000.0001", "process": "entry-0", "message_type": "entry.start"}


@given("the events of a simulated deployment that answers one completion")
def simulate_completion(context):
    log = io.StringIO()
    destination = eliot.FileDestination(file=log)

    async def scenario(simulated):
        body = {"model": "scribe", "prompt": "carafe", "max_tokens": 3}
        req = simulate_deployment.make_request("POST", "/v1/completions", msgspec.json.encode(body))
        answer = await simulated.call(simulated.entries["entry-1"], req)
        context.request = answer.headers.get("x-request-id")

    eliot.add_destinations(destination)
    try:
        simulate_deployment.simulate(4, scenario)
    finally:
        eliot.remove_destination(destination)
    (context.folder / "all.log").write_text(log.getvalue())


@when("they are merged and filtered by the request")
def filter_events(context):
    parsed = event_log.read_files([context.folder / "all.log"])
    context.events = timeline.filter_events(parsed.events, timeline.Filter(request=context.request))


@then('they are in the order "{names}"')
def check_order(context, names):
    names_in_order = [event.name for event in context.events]
    positions = [names_in_order.index(name) for name in names.split(", ")]
    assert positions == sorted(positions), names_in_order


@given("a log with one event and half a line")
def write_cut_log(context):
    line = json.dumps(EVENT)
    (context.folder / "cut.log").write_text(line + "\n" + line[:20])


@then('its page contains "{text}" and its summary is "{summary}"')
def check_output(context, text, summary):
    assert text in context.stdout
    assert summary in context.stderr, context.stderr


@then("a clock that receives a stamp an hour ahead keeps its own time")
def receive_far_stamp(context):
    local_clock = clock.Clock(lambda: 1000.0)
    local_clock.receive(clock.Stamp(1_000_000 + 3_600_000, 0))
    assert local_clock.tick().wall_ms == 1_000_000
    local_clock.receive(clock.Stamp(1_000_500, 0))
    assert local_clock.tick().wall_ms == 1_000_500


@then('a timeline page with a field "{text}" contains no script')
def check_escaped(context, text):
    event = event_log.parse_line(json.dumps({**EVENT, "path": text, "process": text}))
    page = timeline.render_html([event])
    assert "&lt;script&gt;" in page
    assert text not in page
