"""Simulates seeded runs of streamed responses over connections that are reset or fall silent."""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import random

import msgspec
import trio

from galenavane.config import accept, declaration_files
from galenavane.entry import status as statuses
from galenavane.net import address as addresses
from galenavane.net import headers as header_lists
from galenavane.net import http_connection, message, transport_error
from galenavane.serve import errors, sse
from galenavane.simulate import deployment, faulty_network, simulated_process, virtual_clock
from galenavane.standin import engine_faults, engine_text
from galenavane.store import client
from galenavane.target import completion

EXAMPLE_DIRECTORY = pathlib.Path(__file__).resolve().parents[3] / "examples" / "dodoma"
ENTRY_COUNT = 2
ENGINE_COUNT = 6
GROUP_COUNT = 2
START_TIMEOUT_SECONDS = 30.0
RESPONSE_TIMEOUT_SECONDS = 40.0
MEAN_ARRIVAL_INTERVAL_SECONDS = 0.3
MAX_TOKENS = 24
MAX_FAULT_OFFSET_BYTES = 6000
ENGINE_FAULT_PROBABILITY = 0.5
CALLER_FAULT_PROBABILITY = 0.3
MAX_STREAM_ATTEMPTS = 8
_API_KEY = "ward-office-key"


@dataclasses.dataclass(slots=True)
class Result:
    """Findings of one deployment.

    :ivar resume_count: number of attempts to resume a stream after a failed connection.
    :ivar violations: one line for each; empty if there is none.
    :ivar ending_counts: number of streams by ending: ``whole``, the name of the reported error, or
        why the stream has no reported end.
    :ivar fault_counts: number of drawn faults by kind.
    """

    stream_count: int = 0
    resume_count: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)
    ending_counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    fault_counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)


@dataclasses.dataclass(slots=True)
class _Progress:
    """What a caller has received of one response.

    :ivar resume_token: token to resume the stream with, empty before the first response.
    :ivar texts: text of each token received.
    """

    prompt: str
    resume_token: str = ""
    texts: list[str] = dataclasses.field(default_factory=list)


class _FaultRun:
    """A simulated deployment, the random numbers of its faults, and the findings."""

    __slots__ = ("result", "rng", "simulation")

    def __init__(self, simulation: deployment.Deployment, rng: random.Random) -> None:
        self.simulation = simulation
        self.rng = rng
        self.result = Result()

    def next_engine_fault(self, address: addresses.Address) -> faulty_network.Fault:
        """Draw the fault of the next connection from an entry to an engine."""
        return self._draw_fault(ENGINE_FAULT_PROBABILITY)

    def next_caller_fault(self, address: addresses.Address) -> faulty_network.Fault:
        """Draw the fault of the next connection from a caller to an entry."""
        return self._draw_fault(CALLER_FAULT_PROBABILITY)

    def _draw_fault(self, probability: float) -> faulty_network.Fault:
        if self.rng.random() >= probability:
            return faulty_network.Fault()
        kind = self.rng.choice(list(faulty_network.Kind))
        self.result.fault_counts[kind.value] += 1
        return faulty_network.Fault(kind, self.rng.randrange(MAX_FAULT_OFFSET_BYTES))


def run(seed: int, stream_count: int) -> Result:
    """Run streams through a deployment in virtual time, each under faults of its own."""
    return virtual_clock.run(_run_streams, seed, seed, stream_count)


async def _run_streams(seed: int, stream_count: int) -> Result:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        simulation = await start_deployment(nursery, rng)
        fault_run = _FaultRun(simulation, rng)
        for view in simulation.views.values():
            view.net = faulty_network.FaultyNetwork(view.net, fault_run.next_engine_fault)
        async with trio.open_nursery() as fault_nursery:
            fault_nursery.start_soon(_silence_engines, fault_run)
            await _start_streams(fault_run, stream_count)
            fault_nursery.cancel_scope.cancel()
        nursery.cancel_scope.cancel()
    return fault_run.result


async def start_deployment(nursery: trio.Nursery, rng: random.Random) -> deployment.Deployment:
    """Start a deployment of two groups and wait until every entry sees them complete."""
    simulation = deployment.Deployment(nursery, rng)
    await simulation.start_platform()
    for number in range(ENGINE_COUNT):
        await simulation.start_engine(f"engine-{number}", "makole", f"domain-{number // 3}")
    platform = client.make(simulation.operator, simulation.platform, 2.0)
    current = await accept.read_current(platform)
    await accept.accept(
        platform, current.ok, declaration_files.read_folder(EXAMPLE_DIRECTORY), "ordinary"
    )
    for number in range(ENTRY_COUNT):
        await simulation.start_entry(f"entry-{number}", "makole")
    with trio.fail_after(START_TIMEOUT_SECONDS):
        while any(
            _count_complete_groups(simulation, name) < GROUP_COUNT for name in simulation.views
        ):
            await trio.sleep(0.1)
    return simulation


def _count_complete_groups(simulation: deployment.Deployment, entry_name: str) -> int:
    return sum(group.complete for group in statuses.describe(simulation.views[entry_name]).groups)


async def _start_streams(fault_run: _FaultRun, stream_count: int) -> None:
    async with trio.open_nursery() as stream_nursery:
        for number in range(stream_count):
            stream_nursery.start_soon(
                _check_stream, fault_run, f"prompt {number} " * fault_run.rng.randrange(1, 9)
            )
            await trio.sleep(fault_run.rng.expovariate(1 / MEAN_ARRIVAL_INTERVAL_SECONDS))


async def _silence_engines(fault_run: _FaultRun) -> None:
    """Repeatedly make an engine fall silent for some seconds."""
    while True:
        await trio.sleep(fault_run.rng.uniform(1, 10))
        address = fault_run.rng.choice(list(fault_run.simulation.targets.values()))
        for is_silent in (True, False):
            faults = engine_faults.Faults(silent=is_silent)
            await fault_run.simulation.call(
                address, message.json_request("POST", "/faults", faults)
            )
            await trio.sleep(fault_run.rng.uniform(0.5, 5))


async def _check_stream(fault_run: _FaultRun, prompt: str) -> None:
    """Read and check one stream, resuming it at any entry when its connection fails."""
    fault_run.result.stream_count += 1
    progress = _Progress(prompt)
    for _ in range(MAX_STREAM_ATTEMPTS):
        try:
            with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
                ending = await _read_attempt(fault_run, progress)
        except (transport_error.TransportError, trio.TooSlowError):
            fault_run.result.resume_count += bool(progress.resume_token)
            continue
        break
    else:
        ending = "gave up"
    fault_run.result.ending_counts[ending] += 1
    expected = engine_text.make_text(prompt, MAX_TOKENS)
    text = "".join(progress.texts)
    if text != expected if ending == "whole" else not expected.startswith(text):
        fault_run.result.violations.append(f"{prompt!r}: {ending}, got {text!r}")


async def _read_attempt(fault_run: _FaultRun, progress: _Progress) -> str:
    """Read the stream over one connection; return how it ended."""
    caller_net = faulty_network.FaultyNetwork(
        fault_run.simulation.net.attach_process(simulated_process.SimulatedProcess("caller")),
        fault_run.next_caller_fault,
    )
    address = fault_run.rng.choice(list(fault_run.simulation.entries.values()))
    conn = await caller_net.dial(address, 1.0)
    try:
        req = make_request(progress.prompt, progress.resume_token, len(progress.texts))
        await conn.send_request(req, str(address))
        response_head = await conn.read_response_head()
        if response_head.status != 200:
            body = msgspec.json.decode(await conn.read_body(10_000), type=errors.ErrorBody)
            return body.error.name
        progress.resume_token = response_head.headers.get("x-resume-token")
        return await _read_events(fault_run, conn, progress)
    finally:
        await conn.close()


async def _read_events(
    fault_run: _FaultRun, conn: http_connection.HttpConnection, progress: _Progress
) -> str:
    texts = progress.texts
    reader = sse.EventReader(conn)
    while True:
        data = await reader.next_data()
        if data is None:
            return "ended without an end marker"
        if data == sse.DONE:
            return "whole"
        if b'"error"' in data:
            return msgspec.json.decode(data, type=errors.ErrorBody).error.name
        chunk = msgspec.json.decode(data, type=completion.Chunk)
        if chunk.offset != len(texts):
            fault_run.result.violations.append(
                f"{chunk.id}: chunk at offset {chunk.offset} after {len(texts)} tokens"
            )
        texts.append(chunk.choices[0].text)


def make_request(prompt: str, resume_token: str = "", offset: int = 0) -> message.Request:
    """Return a caller's request for a stream, or for the rest of one.

    :param resume_token: token of the stream to resume, empty for a new one.
    :param offset: number of tokens already received.
    """
    body = {"model": "scribe", "prompt": prompt, "max_tokens": MAX_TOKENS, "stream": True}
    headers = header_lists.Headers().add("authorization", f"Bearer {_API_KEY}")
    if resume_token:
        headers.add("x-resume-token", resume_token).add("x-resume-offset", str(offset))
    return message.Request("POST", "/v1/completions", headers, msgspec.json.encode(body))
