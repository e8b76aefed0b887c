"""Open-loop load: requests start when they are due, however slow the answers are."""

from __future__ import annotations

import dataclasses
import random
from collections import abc

import h11
import msgspec
import trio

from galenavane.load import result as results
from galenavane.net import address as addresses
from galenavane.net import headers as header_lists
from galenavane.net import http_connection, message, round_trip, tcp, transport_error
from galenavane.serve import errors, sse
from galenavane.standin import engine_text
from galenavane.target import completion

CONNECT_SECONDS = 2.0
ANSWER_SECONDS = 60.0
MAX_JOB_TRIES = 5
JOB_RETRY_SECONDS = 0.5
MAX_ANSWER_BYTES = 1_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """What to send.

    :ivar rate: completions a second.
    :ivar orders: jobs a second.
    """

    entries: list[addresses.Address]
    key: str
    model: str
    service: str
    seconds: float
    rate: float
    orders: float
    max_tokens: int
    seed: int


async def run(plan: Plan) -> results.Result:
    """Send the load and wait for every answer."""
    result = results.Result()
    rng = random.Random(plan.seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_arrivals, plan, rng, plan.rate, _complete, result)
        nursery.start_soon(_arrivals, plan, rng, plan.orders, _place, result)
    return result


_Send = abc.Callable[[Plan, int, float, results.Result], abc.Awaitable[None]]


async def _arrivals(
    plan: Plan, rng: random.Random, rate: float, send: _Send, result: results.Result
) -> None:
    if rate <= 0:
        return
    start = trio.current_time()
    due = start
    number = 0
    async with trio.open_nursery() as nursery:
        while due < start + plan.seconds:
            await trio.sleep_until(due)
            nursery.start_soon(send, plan, number, due, result)
            number += 1
            due += rng.expovariate(rate)


def _headers(plan: Plan) -> header_lists.Headers:
    fields = header_lists.Headers().add("authorization", f"Bearer {plan.key}")
    return fields.add("content-type", "application/json")


async def _complete(plan: Plan, number: int, due: float, result: results.Result) -> None:
    where = plan.entries[number % len(plan.entries)]
    prompt = f"Inscription {number} for carafe {plan.seed}"
    body = completion.CompletionRequest(plan.model, prompt, [], plan.max_tokens, True)
    req = message.Request("POST", "/v1/completions", _headers(plan), msgspec.json.encode(body))
    try:
        with trio.fail_after(ANSWER_SECONDS):
            await _read_stream(where, req, prompt, due, plan, result)
    except transport_error.TransportError as exc:
        result.refused[f"completion connection {exc.kind.value}"] += 1
    except trio.TooSlowError:
        result.refused["completion timeout"] += 1


async def _read_stream(
    where: addresses.Address,
    req: message.Request,
    prompt: str,
    due: float,
    plan: Plan,
    result: results.Result,
) -> None:
    conn = await tcp.make().dial(where, CONNECT_SECONDS)
    try:
        await conn.send_request(req, str(where))
        head = await conn.read_response_head()
        if head.status != 200:
            _count_refusal(await conn.read_body(MAX_ANSWER_BYTES), result)
            return
        text = await _read_tokens(conn, due, result)
    finally:
        await conn.close()
    if text == engine_text.answer(prompt, plan.max_tokens):
        result.answered += 1
    else:
        result.wrong += 1


async def _read_tokens(
    conn: http_connection.HttpConnection, due: float, result: results.Result
) -> str:
    reader = sse.Reader(conn)
    texts: list[str] = []
    before = due
    while True:
        data = await reader.next_data()
        if data is None:
            kind = transport_error.Kind.RESET
            raise transport_error.TransportError(kind, True, "stream cut off")
        if data == sse.DONE:
            await _read_end(conn)
            return "".join(texts)
        now = trio.current_time()
        histogram = result.between_tokens if texts else result.first_token
        histogram.record_value(max(1, round((now - before) * 1e6)))
        before = now
        texts.append(msgspec.json.decode(data, type=completion.Chunk).choices[0].text)


async def _read_end(conn: http_connection.HttpConnection) -> None:
    while not isinstance(await conn.next_event(), h11.EndOfMessage | h11.ConnectionClosed):
        pass


async def _place(plan: Plan, number: int, due: float, result: results.Result) -> None:
    """Place one job through two entries at once, with one idempotency key."""
    job = f"job-{plan.seed}-{number}"
    result.sent_jobs.append(job)
    answers: list[bool] = []
    async with trio.open_nursery() as nursery:
        for offset in range(2):
            where = plan.entries[(number + offset) % len(plan.entries)]
            nursery.start_soon(_place_once, plan, where, job, answers, result)
    if any(answers):
        result.placed.append(job)


async def _place_once(
    plan: Plan,
    where: addresses.Address,
    job: str,
    answers: list[bool],
    result: results.Result,
) -> None:
    fields = _headers(plan).add("idempotency-key", job)
    req = message.Request("POST", f"/services/{plan.service}/jobs", fields, job.encode())
    for _ in range(MAX_JOB_TRIES):
        try:
            response = await round_trip.send(
                tcp.make(), where, req, ANSWER_SECONDS, MAX_ANSWER_BYTES
            )
        except transport_error.TransportError as exc:
            result.refused[f"job connection {exc.kind.value}"] += 1
        else:
            if response.status < 300:
                answers.append(True)
                return
            _count_refusal(response.body, result)
        await trio.sleep(JOB_RETRY_SECONDS)


def _count_refusal(body: bytes, result: results.Result) -> None:
    detail = msgspec.json.decode(body, type=errors.ErrorBody).error
    result.refused[f"{detail.code} {detail.name} ({detail.outcome})"] += 1
