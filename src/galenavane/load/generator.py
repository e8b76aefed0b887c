"""Open-loop load: requests start when they are due, however slow the answers are."""

from __future__ import annotations

import dataclasses
import random
from collections import abc

import h11
import msgspec
import trio

from galenavane.load import destination, profile, sample
from galenavane.load import result as results
from galenavane.net import address as addresses
from galenavane.net import http_connection, message, network, round_trip, tcp, transport_error
from galenavane.serve import errors, sse
from galenavane.standin import engine_text
from galenavane.target import completion

CONNECT_TIMEOUT_SECONDS = 2.0
RESPONSE_TIMEOUT_SECONDS = 60.0
MAX_JOB_ATTEMPTS = 5
JOB_RETRY_DELAY_SECONDS = 0.5
MAX_RESPONSE_BYTES = 1_000_000
MAX_STREAM_ATTEMPTS = 3
RESUME_TOKEN_HEADER = b"x-resume-token"
RESUME_OFFSET_HEADER = b"x-resume-offset"
ERROR_EVENT_PREFIX = b'{"error"'


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """What to send, where and for how long.

    :ivar net: connects to destinations.
    """

    destinations: list[destination.Destination]
    profile: profile.Profile
    seconds: float
    seed: int
    net: network.Dialer = dataclasses.field(default_factory=tcp.make)


async def run(plan: Plan) -> results.Result:
    """Send the load and wait for every answer."""
    result = results.Result()
    rng = random.Random(plan.seed)
    sent = plan.profile
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _generate_arrivals, plan, rng, sent.completions, _send_completion, result
        )
        nursery.start_soon(_generate_arrivals, plan, rng, sent.jobs, _submit_job, result)
        nursery.start_soon(_generate_arrivals, plan, rng, sent.lookups, _send_lookup, result)
    return result


_SendRequest = abc.Callable[[Plan, int, float, random.Random, results.Result], abc.Awaitable[None]]


async def _generate_arrivals(
    plan: Plan, seeds: random.Random, rate: float, send: _SendRequest, result: results.Result
) -> None:
    if rate <= 0:
        return
    rng = random.Random(seeds.getrandbits(64))
    start = trio.current_time()
    due = start
    number = 0
    async with trio.open_nursery() as nursery:
        while due < start + plan.seconds:
            await trio.sleep_until(due)
            own = random.Random(rng.getrandbits(64))
            nursery.start_soon(send, plan, number, due, own, result)
            number += 1
            due += rng.expovariate(rate)


async def _send_completion(
    plan: Plan, number: int, due: float, rng: random.Random, result: results.Result
) -> None:
    where = plan.destinations[number % len(plan.destinations)]
    key = plan.profile.draw_account(rng).key
    prompt = plan.profile.draw_prompt(number, rng)
    body = completion.CompletionRequest(
        plan.profile.model, prompt, [], plan.profile.draw_answer(rng), True
    )
    fields = where.make_headers(key, number)
    req = message.Request("POST", "/v1/completions", fields, msgspec.json.encode(body))
    reading = _StreamProgress(due)
    try:
        with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
            await _read_stream(plan.net, where.address, req, body, reading, result)
    except transport_error.TransportError as exc:
        result.refused[f"completion connection {exc.kind.value}"] += 1
    except trio.TooSlowError:
        result.refused["completion timeout"] += 1
    result.samples.append(sample.Sample(due, reading.first_seconds, reading.is_whole))


class _StreamProgress:
    """What has been read of one answer."""

    __slots__ = ("due_at", "first_seconds", "is_whole", "last_event_at", "resume_token", "texts")

    def __init__(self, due: float) -> None:
        self.due_at = due
        self.last_event_at = due
        self.texts: list[str] = []
        self.resume_token = ""
        self.first_seconds: float | None = None
        self.is_whole = False


async def _read_stream(
    net: network.Dialer,
    where: addresses.Address,
    req: message.Request,
    body: completion.CompletionRequest,
    reading: _StreamProgress,
    result: results.Result,
) -> None:
    """Read an answer, going on at another entry when a connection breaks inside it."""
    for tries_left in reversed(range(MAX_STREAM_ATTEMPTS)):
        try:
            await _read_attempt(net, where, req, body, reading, result)
            return
        except transport_error.TransportError:
            if not (reading.resume_token and tries_left):
                raise
        result.resumed += 1
        fields = req.headers.without({RESUME_TOKEN_HEADER, RESUME_OFFSET_HEADER})
        fields.add(RESUME_TOKEN_HEADER.decode(), reading.resume_token)
        fields.add(RESUME_OFFSET_HEADER.decode(), str(len(reading.texts)))
        req = message.Request(req.method, req.target, fields, req.body)


async def _read_attempt(
    net: network.Dialer,
    where: addresses.Address,
    req: message.Request,
    body: completion.CompletionRequest,
    reading: _StreamProgress,
    result: results.Result,
) -> None:
    conn = await net.dial(where, CONNECT_TIMEOUT_SECONDS)
    try:
        await conn.send_request(req, str(where))
        head = await conn.read_response_head()
        if head.status != 200:
            _count_refusal(await conn.read_body(MAX_RESPONSE_BYTES), result)
            return
        reading.resume_token = head.headers.get(RESUME_TOKEN_HEADER.decode())
        text = await _read_tokens(conn, reading, result)
    finally:
        await conn.close()
    if text is None:
        return
    reading.is_whole = text == engine_text.make_text(body.prompt, body.max_tokens)
    result.answered += reading.is_whole
    result.wrong += not reading.is_whole


async def _read_tokens(
    conn: http_connection.HttpConnection, reading: _StreamProgress, result: results.Result
) -> str | None:
    """Return the whole text, ``None`` when the stream ended with an error that was told."""
    reader = sse.EventReader(conn)
    while True:
        data = await reader.next_data()
        if data is None:
            kind = transport_error.Kind.RESET
            raise transport_error.TransportError(kind, True, "stream cut off")
        if data == sse.DONE:
            await _drain_stream(conn)
            return "".join(reading.texts)
        if data.startswith(ERROR_EVENT_PREFIX):
            _count_refusal(data, result)
            return None
        now = trio.current_time()
        if reading.first_seconds is None:
            reading.first_seconds = now - reading.due_at
        histogram = result.between_tokens if reading.texts else result.first_token
        histogram.record_value(max(1, round((now - reading.last_event_at) * 1e6)))
        reading.last_event_at = now
        reading.texts.append(msgspec.json.decode(data, type=completion.Chunk).choices[0].text)


async def _drain_stream(conn: http_connection.HttpConnection) -> None:
    while not isinstance(await conn.next_event(), h11.EndOfMessage | h11.ConnectionClosed):
        pass


async def _send_lookup(
    plan: Plan, number: int, due: float, rng: random.Random, result: results.Result
) -> None:
    where = plan.destinations[number % len(plan.destinations)]
    fields = where.make_headers(plan.profile.draw_account(rng).key, number)
    req = message.Request("GET", f"/services/{plan.profile.service}/jobs", fields)
    await _call_plain_service(plan.net, where.address, req, result)


async def _submit_job(
    plan: Plan, number: int, due: float, rng: random.Random, result: results.Result
) -> None:
    """Place one job through two entries at once, with one idempotency key."""
    job = f"job-{plan.seed}-{number}"
    key = plan.profile.draw_account(rng).key
    result.sent_jobs.append(job)
    answers: list[bool] = []
    async with trio.open_nursery() as nursery:
        for offset in range(2):
            where = plan.destinations[(number + offset) % len(plan.destinations)]
            fields = where.make_headers(key, number).add("idempotency-key", job)
            target = f"/services/{plan.profile.service}/jobs"
            req = message.Request("POST", target, fields, job.encode())
            nursery.start_soon(_submit_copy, plan.net, where.address, req, answers, result)
    if any(answers):
        result.placed.append(job)


async def _submit_copy(
    net: network.Dialer,
    where: addresses.Address,
    req: message.Request,
    answers: list[bool],
    result: results.Result,
) -> None:
    for _ in range(MAX_JOB_ATTEMPTS):
        if await _call_plain_service(net, where, req, result):
            answers.append(True)
            return
        await trio.sleep(JOB_RETRY_DELAY_SECONDS)


async def _call_plain_service(
    net: network.Dialer, where: addresses.Address, req: message.Request, result: results.Result
) -> bool:
    """Call a plain service; return whether it answered with success."""
    try:
        response = await round_trip.send(
            net, where, req, RESPONSE_TIMEOUT_SECONDS, MAX_RESPONSE_BYTES
        )
    except transport_error.TransportError as exc:
        result.refused[f"{req.method} connection {exc.kind.value}"] += 1
        return False
    if response.status < 300:
        return True
    _count_refusal(response.body, result)
    return False


def _count_refusal(body: bytes, result: results.Result) -> None:
    detail = msgspec.json.decode(body, type=errors.ErrorBody).error
    result.refused[f"{detail.code} {detail.name} ({detail.outcome})"] += 1
