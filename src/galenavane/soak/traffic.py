"""Generates callers' traffic: completions, lookups, and jobs with and without idempotency keys."""

from __future__ import annotations

import random
from collections import abc

import msgspec
import trio

from galenavane.failure import outcome as outcomes
from galenavane.net import address as addresses
from galenavane.net import headers as header_lists
from galenavane.net import http_connection, message, network, round_trip, transport_error
from galenavane.observe import events
from galenavane.serve import errors, sse
from galenavane.soak import record as records
from galenavane.soak import topology
from galenavane.standin import engine_text, plain_service
from galenavane.target import completion

COMPLETIONS_PER_SECOND = 5.0
JOBS_PER_SECOND = 2.0
LOOKUPS_PER_SECOND = 0.5
CONNECT_TIMEOUT_SECONDS = 1.0
DEADLINE_SECONDS = 15.0
CALLER_TIMEOUT_SECONDS = 120.0
MAX_RESPONSE_BYTES = 1_000_000
MAX_JOB_ATTEMPTS = 4
MEAN_JOB_RETRY_DELAY_SECONDS = 0.7

ERROR_EVENT_PREFIX = b'{"error"'

ReportViolation = abc.Callable[[int, str], None]


class Traffic:
    """Callers and the records of their requests.

    :ivar records: one record for each request, in the order of sending.
    :ivar report: called with the invariant's number and a text when an answer is wrong.
    """

    __slots__ = ("_entries", "_entry_names", "_net", "_rng", "records", "report")

    def __init__(
        self,
        net: network.Network,
        entries: dict[str, addresses.Address],
        rng: random.Random,
        report: ReportViolation,
    ) -> None:
        self._net = net
        self._entries = entries
        self._entry_names = list(entries)
        self._rng = rng
        self.records: list[records.Record] = []
        self.report = report

    async def run(self, seconds: float) -> None:
        """Send requests for a given time, then wait until all have ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._generate_arrivals, seconds, COMPLETIONS_PER_SECOND, self._send_completion
            )
            nursery.start_soon(self._generate_arrivals, seconds, JOBS_PER_SECOND, self._submit_job)
            nursery.start_soon(
                self._generate_arrivals, seconds, LOOKUPS_PER_SECOND, self._send_lookup
            )

    async def _generate_arrivals(
        self,
        seconds: float,
        rate: float,
        send: abc.Callable[[int, random.Random], abc.Awaitable[None]],
    ) -> None:
        rng = random.Random(self._rng.getrandbits(64))
        ends_at = trio.current_time() + seconds
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                await trio.sleep(rng.expovariate(rate))
                nursery.start_soon(send, number, random.Random(rng.getrandbits(64)))
                number += 1

    def _start_record(self, entry: str, job: str = "", idempotency_key: str = "") -> records.Record:
        record = records.Record(entry, trio.current_time(), job, idempotency_key)
        self.records.append(record)
        return record

    def _finish_record(
        self, record: records.Record, ending: records.Ending, response: message.Response | None
    ) -> None:
        record.ending = ending
        record.ended_at = trio.current_time()
        if response is not None:
            record.status = response.status
            record.request_id = response.headers.get("x-request-id")
        events.log(
            "caller.end",
            request=record.request_id,
            entry=record.entry,
            job=record.job,
            ending=ending.value,
            outcome=record.outcome,
        )

    def _record_refusal(self, record: records.Record, response: message.Response) -> None:
        record.outcome = msgspec.json.decode(response.body, type=errors.ErrorBody).error.outcome
        self._finish_record(record, records.Ending.REFUSED, response)

    async def _connect(
        self, rng: random.Random
    ) -> tuple[str, http_connection.HttpConnection] | None:
        """Connect to a random entry, skipping entries that refuse, as a load balancer does."""
        for name in rng.sample(self._entry_names, len(self._entry_names)):
            try:
                return name, await self._net.dial(self._entries[name], CONNECT_TIMEOUT_SECONDS)
            except transport_error.TransportError:
                continue
        return None

    async def _send_completion(self, number: int, rng: random.Random) -> None:
        prompt = f"Inscription {number}" + " for a carafe" * rng.randint(0, 40)
        max_tokens = rng.choice([1, 5, 20, 60, 200])
        body = completion.CompletionRequest(
            topology.MODEL, prompt, [], max_tokens, rng.random() < 0.8
        )
        connected = await self._connect(rng)
        if connected is None:
            return
        name, conn = connected
        record = self._start_record(name)
        req = message.Request("POST", "/v1/completions", _make_headers(), msgspec.json.encode(body))
        try:
            with trio.fail_after(CALLER_TIMEOUT_SECONDS):
                await conn.send_request(req, "entry")
                head = await conn.read_response_head()
                await self._read_response(record, conn, head, body)
        except transport_error.TransportError:
            self._finish_record(record, records.Ending.BROKEN, None)
        except trio.TooSlowError:
            self._finish_record(record, records.Ending.TIMEOUT, None)
        finally:
            await conn.close()

    async def _read_response(
        self,
        record: records.Record,
        conn: http_connection.HttpConnection,
        head: message.Response,
        body: completion.CompletionRequest,
    ) -> None:
        record.request_id = head.headers.get("x-request-id")
        if head.status != 200:
            head.body = await conn.read_body(MAX_RESPONSE_BYTES)
            self._record_refusal(record, head)
            return
        expected = engine_text.make_text(body.prompt, body.max_tokens)
        if body.stream:
            is_complete = await self._read_stream(record, conn, expected)
            ending = records.Ending.WHOLE if is_complete else records.Ending.BROKEN
            self._finish_record(record, ending, head)
            return
        head.body = await conn.read_body(MAX_RESPONSE_BYTES)
        text = str(msgspec.json.decode(head.body)["choices"][0]["text"])
        self._check_text(record, text, expected, True)
        self._finish_record(record, records.Ending.WHOLE, head)

    async def _read_stream(
        self, record: records.Record, conn: http_connection.HttpConnection, expected: str
    ) -> bool:
        """Read a stream and return whether it was complete."""
        reader = sse.EventReader(conn)
        text = ""
        while True:
            data = await reader.next_data()
            if data is None or data == sse.DONE:
                self._check_text(record, text, expected, data is not None)
                return data is not None
            if data.startswith(ERROR_EVENT_PREFIX):
                record.outcome = msgspec.json.decode(data, type=errors.ErrorBody).error.outcome
                return False
            chunk = msgspec.json.decode(data, type=completion.Chunk)
            if chunk.id != record.request_id:
                self.report(3, f"chunk of {chunk.id} in the answer to {record.request_id}")
            text += chunk.choices[0].text
            self._check_text(record, text, expected, False)

    def _check_text(
        self, record: records.Record, text: str, expected: str, is_complete: bool
    ) -> None:
        if text != expected and (is_complete or not expected.startswith(text)):
            self.report(3, f"request {record.request_id} at {record.entry} got a wrong answer")

    async def _send_lookup(self, number: int, rng: random.Random) -> None:
        await self._call_plain_service("GET", "/jobs", "", "", rng)

    async def _submit_job(self, number: int, rng: random.Random) -> None:
        """Submit one job; with an idempotency key, possibly as two concurrent copies."""
        job = f"job-{number}"
        idempotency_key = job if rng.random() < 0.6 else ""
        copies = rng.choice([1, 2]) if idempotency_key else 1
        async with trio.open_nursery() as nursery:
            for _ in range(copies):
                nursery.start_soon(
                    self._submit_copy, job, idempotency_key, random.Random(rng.getrandbits(64))
                )

    async def _submit_copy(self, job: str, idempotency_key: str, rng: random.Random) -> None:
        for _ in range(MAX_JOB_ATTEMPTS):
            record = await self._call_plain_service("POST", "/jobs", job, idempotency_key, rng)
            if record is not None and record.ending is records.Ending.WHOLE:
                return
            was_not_run = record is None or record.outcome == outcomes.Outcome.NOT_RUN
            if not (idempotency_key or was_not_run):
                return
            await trio.sleep(rng.uniform(0.0, 2 * MEAN_JOB_RETRY_DELAY_SECONDS))

    async def _call_plain_service(
        self, method: str, path: str, job: str, idempotency_key: str, rng: random.Random
    ) -> records.Record | None:
        name = rng.choice(self._entry_names)
        record = self._start_record(name, job, idempotency_key)
        headers = _make_headers()
        if idempotency_key:
            headers.add("idempotency-key", idempotency_key)
        request_target = f"/services/{topology.PLAIN_SERVICE}{path}"
        req = message.Request(method, request_target, headers, job.encode())
        try:
            response = await self._send(self._entries[name], req)
        except transport_error.TransportError as exc:
            ending = records.Ending.BROKEN if exc.has_sent_bytes else records.Ending.REFUSED
            self._finish_record(record, ending, None)
            return record if exc.has_sent_bytes else None
        if response.status >= 300:
            self._record_refusal(record, response)
        else:
            if job and msgspec.json.decode(response.body, type=_JobResponse).job != job:
                self.report(3, f"the answer to {job} is {response.body!r}")
            self._finish_record(record, records.Ending.WHOLE, response)
        return record

    async def _send(self, address: addresses.Address, req: message.Request) -> message.Response:
        return await round_trip.send(
            self._net, address, req, CALLER_TIMEOUT_SECONDS, MAX_RESPONSE_BYTES
        )


class _JobResponse(msgspec.Struct, frozen=True):
    """Response of the plain stand-in to a job."""

    job: str


def _make_headers() -> header_lists.Headers:
    headers = header_lists.Headers().add("authorization", f"Bearer {topology.API_KEY}")
    return headers.add("x-deadline-seconds", str(DEADLINE_SECONDS))


def list_job_runs(ledgers: dict[str, list[plain_service.JobRun]]) -> list[plain_service.JobRun]:
    """Return every job run of all targets, ordered by target name."""
    return [run for name in sorted(ledgers) for run in ledgers[name]]
