"""Steps for the platform's wire format."""

from __future__ import annotations

import json
import pathlib
import re

import msgspec
from behave import given, then, when

from galenavane.control import group_command
from galenavane.fleet import replica_group, target
from galenavane.net import headers, message
from galenavane.platform import wire_config, wire_request, wire_target
from galenavane.serve import inbound_request

ROOT = pathlib.Path(__file__).resolve().parents[2] / "src" / "galenavane"
NAMES = (
    "attempt-id|deadline-ms|expect-replica|expect-version|replica-signature|replica-id|"
    "not-executed|prompt-prefix|token-usage|weight-versions|request-priority|length-hint|"
    "at-server|server-leaving|galenavane_boot|traffic_split|cold_remaining_ms|api_keys|backend|timeout_ms|"
    "target_latency_ms|wait_ms|stale_ok|per_seq_ms|fencing_token"
)


def make_config(**route):
    """Encode a configuration with one route."""
    fields = {
        "name": "r",
        "hostname": "h.example",
        "path_prefix": "/a/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "backend": "s",
    }
    return {"version": 3, "routes": [{**fields, **route}], "services": [{"name": "s"}]}


@given('a configuration with routes "{one}" and "{two}" of one host')
def two_routes(context, one, two):
    config = make_config(name=one, path_prefix=one)
    config["routes"] += make_config(name=two, path_prefix=two)["routes"]
    context.catalog = wire_config.decode(json.dumps(config).encode())


@given('a configuration with a route of kind "{kind}"')
def route_of_kind(context, kind):
    context.catalog = wire_config.decode(json.dumps(make_config(kind=kind)).encode())


@then('path "{path}" takes route "{name}"')
def check_route(context, path, name):
    assert context.catalog.find_route("h.example", path).name == name


@then('path "{path}" takes no route')
def check_no_route(context, path):
    assert context.catalog.find_route("h.example", path) is None


@then("its requests may not be retried")
def check_strict(context):
    assert not context.catalog.find_route("h.example", "/a/x").is_retryable


def make_entry(**changes):
    """Build a listed target as the platform stores it."""
    group = {"name": "g", "epoch": 7, "rank": 1, "state": "ready"}
    fields = {
        "backend": "s",
        "address": "10.0.0.1:80",
        "zone": "dc",
        "state": "ready",
        "slots": 13,
        "sequence": 4,
        "domain": "dc-d0",
        "staged": ["m"],
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "group": group,
        "born": 1700,
        "novel": {"x": 1},
    }
    return {**fields, **changes}


def decode_entry(entry):
    """Decode a listed target."""
    return wire_target.decode_target("t1", msgspec.Raw(json.dumps(entry).encode()))


@then("a listed target {what} is skipped")
def check_skipped(context, what):
    group = {"name": "g", "epoch": 7, "rank": 1, "state": "ready"}
    entries = {
        "that is no JSON object": 5,
        "without an address": {
            key: value for key, value in make_entry().items() if key != "address"
        },
        "with an address that is a number": make_entry(address=5),
        "with an unknown state": make_entry(state="sleeping"),
        "with an unknown state of its group": make_entry(
            group={"name": "g", "epoch": 7, "rank": 1, "state": "novel"}
        ),
        "with 10**30 slots": make_entry(slots=10**30),
        "with -5 slots": make_entry(slots=-5),
        "with 2**63 slots": make_entry(slots=2**63),
        "that started 10**30 ms after 1970": make_entry(born=10**30),
        "that started -2**63 ms after 1970": make_entry(born=-(2**63)),
        "with an epoch of 10**30": make_entry(group={**group, "epoch": 10**30}),
        "with an epoch of 2**64-1": make_entry(group={**group, "epoch": 2**64 - 1}),
        "with a rank of -7": make_entry(group={**group, "rank": -7}),
        "with a port of 99999": make_entry(address="10.0.0.1:99999"),
        "with a port of 5000 digits": make_entry(address="10.0.0.1:" + "9" * 5000),
    }
    if what == "with a field nested 8000 deep":
        text = json.dumps(make_entry()).replace('{"x": 1}', "[" * 8000 + "]" * 8000)
        assert wire_target.decode_target("t1", msgspec.Raw(text.encode())) is None
        return
    assert decode_entry(entries[what]) is None


@then("a listed target is decoded with its group, model and start time")
def check_decoded(context):
    decoded = decode_entry(make_entry())
    assert decoded.membership == target.Membership("g", 7, 1, target.GroupState.READY)
    assert (decoded.model, decoded.incarnation, decoded.domain) == ("m", 1700, "dc-d0")


def decode_request(context, *pairs):
    """Decode a client's request with the given header fields."""
    fields = headers.Headers([(b"host", b"h.example"), (b"attempt-id", b"77"), *pairs])
    context.call = wire_request.decode(message.Request("POST", "/a/x?q=1", fields, b"body"))


@given("a request that sets a key, an account, a deadline and an expected target")
def decode_forged(context):
    decode_request(
        context,
        (b"authorization", b"Bearer secret"),
        (b"tenant", b"other"),
        (b"deadline-ms", b"99000"),
        (b"expect-replica", b"t9"),
        (b"request-priority", b"0"),
    )
    assert context.call.api_key == "secret"


@given('a request with hop-by-hop fields and a field "{name}"')
def decode_hop_by_hop(context, name):
    decode_request(
        context,
        (b"connection", b"x-hop, keep-alive"),
        (b"x-hop", b"1"),
        (name.encode(), b"7"),
    )


@when('it is sent to target "{name}" for account "{account}" with {left:g} s left')
def send(context, name, account, left):
    context.sent = wire_request.make_target_headers(
        context.call, inbound_request.SendOptions(name, account, left, context.call.last_event_id)
    )


@given('a request that resumes a stream after event "{text}"')
def resume_request(context, text):
    decode_request(context, (b"last-event-id", text.encode()))


@then('the target is asked once to go on after event "{text}"')
def check_position(context, text):
    sent = [value for name, value in context.sent.pairs if name.lower() == b"last-event-id"]
    assert sent == [text.encode()], sent


@when('it is resumed on target "{name}" after event {number:d}')
def send_on(context, name, number):
    options = inbound_request.SendOptions(name, "acme", 1.0, number, True)
    context.sent = wire_request.make_target_headers(context.call, options)


@then("the target gets priority {priority:d} and event {number:d}")
def check_resumed(context, priority, number):
    assert context.sent.get("request-priority") == str(priority)
    assert context.sent.get("last-event-id") == str(number)


@then('the target gets account "{account}", target "{name}" and {left:d} ms')
def check_own(context, account, name, left):
    assert context.sent.get("tenant") == account
    assert context.sent.get("expect-replica") == name
    assert context.sent.get("deadline-ms") == str(left)


@then("it gets no key")
def check_no_key(context):
    assert not context.sent.get("authorization")
    assert all(b"secret" not in value for _, value in context.sent.pairs)


@then("it gets each field once")
def check_once(context):
    names = [name for name, _ in context.sent.pairs]
    assert len(names) == len(set(names)), names
    assert b"request-priority" not in names


@then('the target gets field "{name}"')
def check_field(context, name):
    assert context.sent.get(name) == "7"


@then('it gets no field "{name}" and no field that it lists')
def check_no_hop(context, name):
    assert not context.sent.get(name) and not context.sent.get("x-hop")


@then("a response with {head} is {meaning}")
def check_answer(context, head, meaning):
    decode_request(context)
    fields = {"attempt-id": "77", "replica-signature": "s"}
    status = 200
    if head.startswith("status"):
        status = int(head.split()[1])
    if "refusal header" in head:
        fields["not-executed"] = "1"
    if "another request" in head:
        fields["attempt-id"] = "78"
    if "encoding" in head:
        fields["content-encoding"] = "gzip"
    response_headers = headers.Headers()
    for name, value in fields.items():
        response_headers.add(name, value)
    answer = wire_request.decode_response(context.call, message.Response(status, response_headers))
    results = {
        "not run": answer.is_not_run,
        "possibly run": not answer.is_not_run,
        "not this request's": not answer.matches_request,
        "not the target's own": not answer.is_signed,
    }
    assert results[meaning]


@then("no source file outside the adapter contains a platform name")
def check_sources(context):
    pattern = re.compile(rf"[\"'](?:{NAMES})[\"']", re.IGNORECASE)
    matches = [
        f"{path.name}: {match.group()}"
        for path in sorted(ROOT.rglob("*.py"))
        if path.parent != ROOT / "platform"
        for match in pattern.finditer(path.read_text(encoding="utf-8"))
    ]
    assert not matches, matches


@given('a request whose "{field}" is "{text}"')
def decode_number(context, field, text):
    decode_request(context, (field.encode(), text.encode()))


@then("it is decoded with {seconds:g} s to wait and event {number:d}")
def check_numbers(context, seconds, number):
    assert (context.call.timeout_seconds, context.call.last_event_id) == (seconds, number)


@when("a target is told to {words}")
def encode(context, words):
    member = decode_entry(make_entry())
    key = replica_group.Key("g", 7)
    commands = {
        "stage a model": group_command.Stage(member, "m"),
        "join a group": group_command.Join(member, key, "m", ("t1", "t2"), False),
        "join a group after 4 commands": group_command.Join(
            member, key, "m", ("t1", "t2"), False, is_conditional=True, expected_count=4
        ),
        "open a group": group_command.Open(member, key),
        "close a group": group_command.Close(member, key),
        "leave a group": group_command.Leave(member, key),
    }
    context.command_request = wire_target.make_command_request(commands[words])
    context.order = json.loads(context.command_request.body)


@then("the command's request names that target")
def check_command_target(context):
    assert context.command_request.headers.get("expect-replica") == "t1"


@then("a report with and without a sequence has {count:d} and no commands")
def check_command_count(context, count):
    listed = decode_entry(make_entry())
    body = make_entry(sequence=count, pace=1.0)
    assert wire_target.decode_report(listed, json.dumps(body).encode()).command_count == count
    del body["sequence"]
    assert wire_target.decode_report(listed, json.dumps(body).encode()).command_count is None


@then('the command\'s fields are "{fields}"')
def check_fields(context, fields):
    assert sorted(context.order) == fields.split(), context.order


def decode_parts(prompt):
    """Decode the shared parts of a request's prompt."""
    fields = headers.Headers().add("host", "h.example").add("prompt-prefix", prompt)
    return wire_request.decode(message.Request("POST", "/a/", fields)).prompt_parts


@then('a request with the prompt "{prompt}" has the shared parts "{parts}"')
def check_parts(context, prompt, parts):
    assert decode_parts(prompt) == tuple(parts.split()), decode_parts(prompt)


@then('a request with the prompt "{prompt}" has the shared parts ""')
def check_no_shared_parts(context, prompt):
    assert decode_parts(prompt) == (), decode_parts(prompt)


@then('a request with the prompt "" has the shared parts ""')
def check_no_prompt(context):
    check_no_shared_parts(context, "")


@then("of a prompt with {count:d} parts the first {limit:d} are decoded")
def check_part_limit(context, count, limit):
    names = tuple(f"{number:x}" for number in range(count))
    assert decode_parts(",".join(f"{name}:1" for name in names)) == names[:limit]


@then("a prompt with part ids of {allowed:d} and {excess:d} characters has 2 and 0 shared parts")
def check_part_length(context, allowed, excess):
    assert len(decode_parts(f"{'a' * allowed}:1,b:1,c:1")) == 2
    assert decode_parts(f"{'a' * excess}:1,b:1,c:1") == ()


@then('an answer of status {status:d} with "{name}: {value}" says {notice}')
def check_notice(context, status, name, value, notice):
    head = message.Response(status, headers.Headers([(name.encode(), value.encode())]))
    found = wire_request.decode_notice(head)
    said = "that it leaves" if found.is_leaving else "nothing"
    if found.wait_seconds:
        said = f"to wait {found.wait_seconds:g} s"
    assert said == notice, found
