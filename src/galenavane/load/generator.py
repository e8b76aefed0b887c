"""Open-loop load generator: requests start when due, however slow the responses are."""

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
    """Load to send, its destinations and its duration.

    :ivar destinations: destinations, used in turn.
    :ivar seconds: time during which requests arrive.
    :ivar seed: seed of arrivals, accounts and lengths.
    :ivar net: dialer for the destinations.
    """

    destinations: list[destination.Destination]
    profile: profile.Profile
    seconds: float
    seed: int
    net: network.Dialer = dataclasses.field(default_factory=tcp.make)


async def run(plan: Plan) -> results.Result:
    """Send the load and wait for every response."""
    result = results.Result()
    rng = random.Random(plan.seed)
    load_profile = plan.profile
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _generate_arrivals, plan, rng, load_profile.completions, _send_completion, result
        )
        nursery.start_soon(_generate_arrivals, plan, rng, load_profile.jobs, _submit_job, result)
        nursery.start_soon(
            _generate_arrivals, plan, rng, load_profile.lookups, _send_lookup, result
        )
    return result


_SendRequest = abc.Callable[[Plan, int, float, random.Random, results.Result], abc.Awaitable[None]]


async def _generate_arrivals(
    plan: Plan, seed_rng: random.Random, rate: float, send: _SendRequest, result: results.Result
) -> None:
    if rate <= 0:
        return
    rng = random.Random(seed_rng.getrandbits(64))
    started_at = trio.current_time()
    due_at = started_at
    number = 0
    async with trio.open_nursery() as nursery:
        while due_at < started_at + plan.seconds:
            await trio.sleep_until(due_at)
            request_rng = random.Random(rng.getrandbits(64))
            nursery.start_soon(send, plan, number, due_at, request_rng, result)
            number += 1
            due_at += rng.expovariate(rate)


async def _send_completion(
    plan: Plan, number: int, due_at: float, rng: random.Random, result: results.Result
) -> None:
    recipient = plan.destinations[number % len(plan.destinations)]
    api_key = plan.profile.draw_account(rng).key
    prompt = plan.profile.draw_prompt(number, rng)
    body = completion.CompletionRequest(
        plan.profile.model, prompt, [], plan.profile.draw_answer(rng), True
    )
    headers = recipient.make_headers(api_key, number)
    req = message.Request("POST", "/v1/completions", headers, msgspec.json.encode(body))
    progress = _StreamProgress(due_at)
    try:
        with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
            await _read_stream(plan.net, recipient.address, req, body, progress, result)
    except transport_error.TransportError as exc:
        result.refused[f"completion connection {exc.kind.value}"] += 1
    except trio.TooSlowError:
        result.refused["completion timeout"] += 1
    result.samples.append(sample.Sample(due_at, progress.first_seconds, progress.is_whole))


class _StreamProgress:
    """Progress of reading one streamed answer.

    :ivar due_at: intended start of the request, in seconds on the monotonic clock.
    :ivar first_seconds: time from the intended start to the first token; ``None`` before it.
    :ivar is_whole: whether the whole expected text was read.
    :ivar last_event_at: time of the latest token, or the intended start before the first one.
    :ivar resume_token: token to resume the stream with; empty when there is none.
    :ivar texts: texts of the tokens read so far.
    """

    __slots__ = ("due_at", "first_seconds", "is_whole", "last_event_at", "resume_token", "texts")

    def __init__(self, due_at: float) -> None:
        self.due_at = due_at
        self.last_event_at = due_at
        self.texts: list[str] = []
        self.resume_token = ""
        self.first_seconds: float | None = None
        self.is_whole = False


async def _read_stream(
    net: network.Dialer,
    address: addresses.Address,
    req: message.Request,
    body: completion.CompletionRequest,
    progress: _StreamProgress,
    result: results.Result,
) -> None:
    """Read an answer, and resume it on a new connection when one breaks in the middle.

    The dialer may connect to another entry than before.

    :raises transport_error.TransportError: when it can't be resumed or all attempts have failed.
    """
    for attempts_left in reversed(range(MAX_STREAM_ATTEMPTS)):
        try:
            await _read_attempt(net, address, req, body, progress, result)
            return
        except transport_error.TransportError:
            if not (progress.resume_token and attempts_left):
                raise
        result.resumed += 1
        headers = req.headers.without({RESUME_TOKEN_HEADER, RESUME_OFFSET_HEADER})
        headers.add(RESUME_TOKEN_HEADER.decode(), progress.resume_token)
        headers.add(RESUME_OFFSET_HEADER.decode(), str(len(progress.texts)))
        req = message.Request(req.method, req.target, headers, req.body)


async def _read_attempt(
    net: network.Dialer,
    address: addresses.Address,
    req: message.Request,
    body: completion.CompletionRequest,
    progress: _StreamProgress,
    result: results.Result,
) -> None:
    conn = await net.dial(address, CONNECT_TIMEOUT_SECONDS)
    try:
        await conn.send_request(req, str(address))
        head = await conn.read_response_head()
        if head.status != 200:
            _count_refusal(await conn.read_body(MAX_RESPONSE_BYTES), result)
            return
        progress.resume_token = head.headers.get(RESUME_TOKEN_HEADER.decode())
        text = await _read_tokens(conn, progress, result)
    finally:
        await conn.close()
    if text is None:
        return
    progress.is_whole = text == engine_text.make_text(body.prompt, body.max_tokens)
    result.answered += progress.is_whole
    result.wrong += not progress.is_whole


async def _read_tokens(
    conn: http_connection.HttpConnection, progress: _StreamProgress, result: results.Result
) -> str | None:
    """Return the whole text, or ``None`` when the stream ended with an error event.

    :raises transport_error.TransportError: when the stream ended without its end marker.
    """
    reader = sse.EventReader(conn)
    while True:
        data = await reader.next_data()
        if data is None:
            kind = transport_error.Kind.RESET
            raise transport_error.TransportError(
                kind, True, "connection closed before the end of the stream"
            )
        if data == sse.DONE:
            await _drain_stream(conn)
            return "".join(progress.texts)
        if data.startswith(ERROR_EVENT_PREFIX):
            _count_refusal(data, result)
            return None
        now = trio.current_time()
        if progress.first_seconds is None:
            progress.first_seconds = now - progress.due_at
        histogram = result.between_tokens if progress.texts else result.first_token
        histogram.record_value(max(1, round((now - progress.last_event_at) * 1e6)))
        progress.last_event_at = now
        progress.texts.append(msgspec.json.decode(data, type=completion.Chunk).choices[0].text)


async def _drain_stream(conn: http_connection.HttpConnection) -> None:
    while not isinstance(await conn.next_event(), h11.EndOfMessage | h11.ConnectionClosed):
        pass


async def _send_lookup(
    plan: Plan, number: int, due_at: float, rng: random.Random, result: results.Result
) -> None:
    recipient = plan.destinations[number % len(plan.destinations)]
    headers = recipient.make_headers(plan.profile.draw_account(rng).key, number)
    req = message.Request("GET", f"/services/{plan.profile.service}/jobs", headers)
    await _call_plain_service(plan.net, recipient.address, req, result)


async def _submit_job(
    plan: Plan, number: int, due_at: float, rng: random.Random, result: results.Result
) -> None:
    """Submit one job to two destinations concurrently with the same idempotency key."""
    job = f"job-{plan.seed}-{number}"
    api_key = plan.profile.draw_account(rng).key
    result.sent_jobs.append(job)
    successes: list[bool] = []
    async with trio.open_nursery() as nursery:
        for offset in range(2):
            recipient = plan.destinations[(number + offset) % len(plan.destinations)]
            headers = recipient.make_headers(api_key, number).add("idempotency-key", job)
            path = f"/services/{plan.profile.service}/jobs"
            req = message.Request("POST", path, headers, job.encode())
            nursery.start_soon(_submit_copy, plan.net, recipient.address, req, successes, result)
    if any(successes):
        result.placed.append(job)


async def _submit_copy(
    net: network.Dialer,
    address: addresses.Address,
    req: message.Request,
    successes: list[bool],
    result: results.Result,
) -> None:
    for _ in range(MAX_JOB_ATTEMPTS):
        if await _call_plain_service(net, address, req, result):
            successes.append(True)
            return
        await trio.sleep(JOB_RETRY_DELAY_SECONDS)


async def _call_plain_service(
    net: network.Dialer, address: addresses.Address, req: message.Request, result: results.Result
) -> bool:
    """Call a plain service and count a failure; return whether the call succeeded."""
    try:
        response = await round_trip.send(
            net, address, req, RESPONSE_TIMEOUT_SECONDS, MAX_RESPONSE_BYTES
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
