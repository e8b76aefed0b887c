"""Steps for streaming completions through a simulated deployment."""

from __future__ import annotations

import random

import msgspec
import trio
from behave import given, then

from galenavane.experiment import stream_fault_run
from galenavane.net import message
from galenavane.serve import completion_body, resume_token, sse
from galenavane.simulate import virtual_clock
from galenavane.standin import engine, engine_text

SAMPLE_SECONDS = 0.15
BODY = {"model": "scribe", "prompt": "p", "max_tokens": 8}


def simulate(scenario, seed=1):
    async def main():
        async with trio.open_nursery() as nursery:
            deployment = await stream_fault_run.start_deployment(nursery, random.Random(seed))
            await scenario(deployment)
            nursery.cancel_scope.cancel()

    virtual_clock.run(main, seed)


def make_request(body, path="/v1/completions"):
    req = stream_fault_run.make_request("p")
    return message.Request("POST", path, req.headers, msgspec.json.encode(body))


async def open_stream(deployment, body):
    address = deployment.entries["entry-0"]
    conn = await deployment.operator.dial(address, 1.0)
    await conn.send_request(make_request({**body, "stream": True}), str(address))
    return conn


async def read_texts(conn, count):
    reader = sse.EventReader(conn)
    texts = []
    while len(texts) < count:
        data = await reader.next_data()
        if data in (None, sse.DONE):
            break
        texts.append(msgspec.json.decode(data)["choices"][0]["text"])
    return texts


@then(
    "a caller that disconnects after {count:d} tokens has its stream cancelled within 1.0 seconds"
)
def check_cancel(context, count):
    async def scenario(deployment):
        prompt = "p" * (200_000 if count == 0 else 10)
        conn = await open_stream(deployment, {**BODY, "prompt": prompt, "max_tokens": 5000})
        if count:
            await conn.read_response_head()
            assert len(await read_texts(conn, count)) == count
        else:
            await trio.sleep(0.5)
        assert await count_running(deployment) == 1
        await conn.close()
        await trio.sleep(1.0 - SAMPLE_SECONDS)
        assert await count_running(deployment) == 0
        assert deployment.views["entry-0"].active_requests.value == 0

    simulate(scenario)


async def count_running(deployment):
    """Return the number of requests that run on all engines, after their next load sample."""
    await trio.sleep(SAMPLE_SECONDS)
    total = 0
    for address in deployment.targets.values():
        faults = message.json_request("POST", "/faults", {"report_lag_seconds": 0.0})
        await deployment.call(address, faults)
        report = msgspec.json.decode(
            (await deployment.call(address, message.Request("GET", "/v1/report"))).body
        )
        total += report["load"]["running"]
    return total


@then("a stopped entry completes its stream and rejects a new request with leaving")
def check_drain(context):
    async def scenario(deployment):
        conn = await open_stream(deployment, {**BODY, "max_tokens": 100})
        await conn.read_response_head()
        texts = await read_texts(conn, 5)
        deployment.stop_events["entry-0"].set()
        await trio.sleep(0.1)
        refusal = await deployment.call(deployment.entries["entry-0"], make_request(BODY))
        assert msgspec.json.decode(refusal.body)["error"]["name"] == "leaving"
        texts += await read_texts(conn, 1000)
        assert "".join(texts) == engine_text.make_text("p", 100)

    simulate(scenario)


@then("a request 1.0 seconds after a stop on an earlier connection is rejected with leaving")
def check_idle_connection(context):
    async def scenario(deployment):
        conn = await deployment.operator.dial(deployment.entries["entry-0"], 1.0)
        deployment.stop_events["entry-0"].set()
        await trio.sleep(1.0)
        await conn.send_request(make_request(BODY), "entry")
        head = await conn.read_response_head()
        body = msgspec.json.decode(await conn.read_body(10_000))
        assert body["error"]["name"] == "leaving"
        assert body["error"]["outcome"] == "not_run"
        assert head.headers.get("connection") == "close"

    simulate(scenario)


@given("engines that send chunks with the id of another request")
def damage_engines(context):
    original_event = engine._encode_event
    engine._encode_event = lambda request_id, *rest: original_event("another", *rest)
    context.add_cleanup(setattr, engine, "_encode_event", original_event)
    context.original_event = original_event


@then("a completion fails with wrong_answer and the entry keeps serving")
def check_wrong_answer(context):
    async def scenario(deployment):
        answer = await deployment.call(deployment.entries["entry-0"], make_request(BODY))
        assert msgspec.json.decode(answer.body)["error"]["name"] == "wrong_answer"
        engine._encode_event = context.original_event
        answer = await deployment.call(deployment.entries["entry-0"], make_request(BODY))
        assert answer.status == 200

    simulate(scenario)


@then('a chat completion has finish reason "{reason}" and {count:d} completion tokens')
def check_chat(context, reason, count):
    async def scenario(deployment):
        body = {"model": "scribe", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 8}
        answer = await deployment.call(
            deployment.entries["entry-0"], make_request(body, "/v1/chat/completions")
        )
        completion = msgspec.json.decode(answer.body)
        assert completion["object"] == "chat.completion"
        assert completion["choices"][0]["finish_reason"] == reason
        assert completion["choices"][0]["message"]["content"] == engine_text.make_text(
            "user: hi", 8
        )
        assert completion["usage"]["completion_tokens"] == count

    simulate(scenario)


@then("a resume token is rejected for another account, another body, and when modified")
def check_tokens(context):
    async def scenario(deployment):
        conn = await open_stream(deployment, BODY)
        head = await conn.read_response_head()
        token = head.headers.get("x-resume-token")
        address = deployment.entries["entry-1"]
        altered = ("A" if token[0] != "A" else "B") + token[1:]
        for body, text in (({**BODY, "max_tokens": 9}, token), (BODY, altered), (BODY, "?")):
            req = make_request({**body, "stream": True})
            req.headers.add("x-resume-token", text).add("x-resume-offset", "2")
            answer = await deployment.call(address, req)
            assert msgspec.json.decode(answer.body)["error"]["name"] == "bad_resume_token"

    simulate(scenario)
    token_fields = resume_token.ResumeToken("r", "ward-office", "v1", "hash", 100.0)
    text = resume_token.sign("key", token_fields)
    assert resume_token.verify("key", text, 99.0).ok == token_fields
    assert resume_token.verify("key", text, 101.0).is_error()
    assert resume_token.verify("other", text, 99.0).is_error()
    assert resume_token.verify("", text, 99.0).is_error()


@then("a body with temperature 0.5 is forwarded with temperature 0.5")
def check_fields(context):
    parsed = completion_body.parse(msgspec.json.encode({**BODY, "temperature": 0.5})).ok
    sent = msgspec.json.decode(parsed.encode_for_target("so far"))
    assert sent == {**BODY, "temperature": 0.5, "stream": True, "resume_text": "so far"}
