"""Steps for requests to plain services."""

from __future__ import annotations

import random

import msgspec
import trio
from behave import given, then

from galenavane.config import declaration
from galenavane.experiment import small_deployment
from galenavane.net import headers, message
from galenavane.serve import forwarding, plain_health, plain_request
from galenavane.simulate import faulty_network, virtual_clock
from galenavane.standin import plain_service
from galenavane.store import instance


@then("a plain target that failed twice is not preferred for 2 seconds")
def check_health(context):
    health = plain_health.PlainHealth()
    health.record_failure("a", 0.0)
    health.record_failure("a", 10.0)
    assert health.select_preferred(["a", "b"], 11.9) == {"b"}
    assert health.select_preferred(["a", "b"], 12.0) == {"a", "b"}
    health.record_failure("a", 20.0)
    assert health.select_preferred(["a"], 20.0) == {"a"}
    health.record_success("a")
    assert health.select_preferred(["a", "b"], 20.0) == {"a", "b"}


@then('with "POST /search*" declared idempotent, "{call}" is idempotent: {expected}')
def check_idempotent(context, call, expected):
    kind = declaration.ServiceKind.PLAIN
    service = declaration.Service("desk", kind, idempotent=["POST /search*"])
    method, path = call.split(" ")
    assert plain_request.is_idempotent(service, method, path) is (expected == "True")


@given("a small deployment")
def make_plain(context):
    context.first_fault = faulty_network.Kind.NONE
    context.state = instance.State.LIVE


@given("a small deployment whose next connection to a target does not respond")
def make_silent(context):
    make_plain(context)
    context.first_fault = faulty_network.Kind.SILENT_ANSWER


@given("a small deployment whose targets are leaving")
def make_leaving(context):
    make_plain(context)
    context.state = instance.State.LEAVING


def simulate(context, scenario):
    async def main():
        faults = []

        def next_fault(address):
            if address.port >= 20 and faults:
                return faulty_network.Fault(faults.pop())
            return faulty_network.Fault()

        async with trio.open_nursery() as nursery:
            deployment = small_deployment.SmallDeployment(nursery, random.Random(1))
            await deployment.start(0, 2, next_fault)
            address = small_deployment.addresses.Address("10.0.0.1", 10)
            deployment.entries.append(address)
            view = await deployment.start_entry(address, next_fault)
            view.instances.publish(
                [
                    msgspec.structs.replace(known, state=context.state)
                    for known in view.instances.value
                ]
            )
            await scenario(deployment, faults)
            nursery.cancel_scope.cancel()

    virtual_clock.run(main, 1)


async def call(deployment, method, path, body=b""):
    req = small_deployment.make_request(method, path, body, 3.0)
    return await deployment.call(deployment.entries[0], req)


@then("a lookup is answered and an order fails with unknown")
def check_repeat(context):
    async def scenario(deployment, faults):
        faults.append(context.first_fault)
        lookup = await call(deployment, "GET", "/jobs")
        faults[:] = [context.first_fault]
        order = await call(deployment, "POST", "/jobs", b"job")
        assert msgspec.json.decode(order.body)["error"]["outcome"] == "unknown"
        assert [line.job for line in await deployment.fetch_ledger()] == ["job"]
        assert lookup.status == 200, lookup

    simulate(context, scenario)


def forward(fields):
    """Return the header fields that a target gets for a caller's header fields."""
    req = message.Request("GET", "/services/desk/jobs", fields)
    exchange = type("Exchange", (), {"request": req})()
    account = type("Account", (), {"name": "caller"})()
    caller = type("Caller", (), {"exchange": exchange, "account": account, "request_id": "own"})()
    return forwarding.make_request(caller, "/jobs").headers


@then('a target gets the account "caller" although the caller sends x-account "other"')
def check_account(context):
    fields = headers.Headers().add("X-Account", "other").add("Authorization", "Bearer key")
    sent = forward(fields.add("x-request-id", "foreign"))
    assert [value for name, value in sent.pairs if name == b"x-account"] == [b"caller"]
    assert [value for name, value in sent.pairs if name == b"x-request-id"] == [b"own"]
    assert sent.get("authorization") == ""
    assert sent.get("forwarded") == "by=_galenavane"


@then("a target gets no field that is listed in the caller's Connection field")
def check_connection(context):
    fields = headers.Headers().add("Connection", "close, X-Secret").add("x-secret", "1")
    sent = forward(fields.add("te", "trailers").add("x-kept", "1"))
    assert sent.get("x-secret") == sent.get("te") == sent.get("connection") == ""
    assert sent.get("x-kept") == "1"


@then("a response with the id of another request fails with wrong_answer")
def check_foreign(context):
    original_answer = plain_service._make_response

    def answer_foreign(state, req):
        req.headers.pairs = [(b"x-request-id", b"foreign")]
        return original_answer(state, req)

    context.add_cleanup(setattr, plain_service, "_make_response", original_answer)
    plain_service._make_response = answer_foreign

    async def scenario(deployment, faults):
        answer = await call(deployment, "GET", "/jobs")
        assert msgspec.json.decode(answer.body)["error"]["name"] == "wrong_answer"

    simulate(context, scenario)


@then("an order fails with not_run and no target executes it")
def check_leaving(context):
    async def scenario(deployment, faults):
        order = await call(deployment, "POST", "/jobs", b"job")
        assert msgspec.json.decode(order.body)["error"]["outcome"] == "not_run"
        assert not await deployment.fetch_ledger()

    simulate(context, scenario)
