"""Seeded runs of streamed answers over connections that break or fall silent."""

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
from galenavane.simulate import clock, deployment, faulty_net, owner
from galenavane.standin import engine_faults, engine_text
from galenavane.store import client
from galenavane.target import completion

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples" / "dodoma"
ENTRIES = 2
ENGINES = 6
GROUPS = 2
SETTLE_SECONDS = 30.0
ANSWER_SECONDS = 40.0
ARRIVAL_SECONDS = 0.3
MAX_TOKENS = 24
MAX_FAULT_BYTES = 6000
FAULT_SHARE = 0.5
CALLER_FAULT_SHARE = 0.3
MAX_RESUMES = 8
_KEY = "ward-office-key"


@dataclasses.dataclass(slots=True)
class Result:
    """What the streams showed.

    :ivar ended: how each stream ended: ``whole`` or the name of the error that was told.
    """

    streams: int = 0
    resumed: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)
    ended: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    faults: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)


@dataclasses.dataclass(slots=True)
class _Progress:
    """What a caller has got of one answer."""

    prompt: str
    token: str = ""
    texts: list[str] = dataclasses.field(default_factory=list)


class _Run:
    __slots__ = ("made", "result", "rng")

    def __init__(self, made: deployment.Deployment, rng: random.Random) -> None:
        self.made = made
        self.rng = rng
        self.result = Result()

    def next_fault(self, where: addresses.Address) -> faulty_net.Fault:
        """Draw the fault of the next connection from an entry to an engine."""
        return self._draw(FAULT_SHARE)

    def next_caller_fault(self, where: addresses.Address) -> faulty_net.Fault:
        """Draw the fault of the next connection from a caller to an entry."""
        return self._draw(CALLER_FAULT_SHARE)

    def _draw(self, share: float) -> faulty_net.Fault:
        if self.rng.random() >= share:
            return faulty_net.Fault()
        kind = self.rng.choice(list(faulty_net.Kind))
        self.result.faults[kind.value] += 1
        return faulty_net.Fault(kind, self.rng.randrange(MAX_FAULT_BYTES))


def run(seed: int, streams: int) -> Result:
    """Run a deployment in virtual time with so many streams, each under its own faults."""
    return clock.run(_main, seed, seed, streams)


async def _main(seed: int, streams: int) -> Result:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        made = await start(nursery, rng)
        runs = _Run(made, rng)
        for view in made.views.values():
            view.net = faulty_net.FaultyNet(view.net, runs.next_fault)
        async with trio.open_nursery() as running:
            running.start_soon(_break_engines, runs)
            await _send_all(runs, streams)
            running.cancel_scope.cancel()
        nursery.cancel_scope.cancel()
    return runs.result


async def start(nursery: trio.Nursery, rng: random.Random) -> deployment.Deployment:
    """Start a deployment of two groups and wait until they are complete."""
    made = deployment.Deployment(nursery, rng)
    await made.start_platform()
    for number in range(ENGINES):
        await made.start_engine(f"engine-{number}", "makole", f"domain-{number // 3}")
    platform = client.make(made.operator, made.platform, 2.0)
    current = await accept.read_current(platform)
    await accept.accept(platform, current.ok, declaration_files.read_folder(EXAMPLES), "ordinary")
    for number in range(ENTRIES):
        await made.start_entry(f"entry-{number}", "makole")
    with trio.fail_after(SETTLE_SECONDS):
        while any(_complete_groups(made, name) < GROUPS for name in made.views):
            await trio.sleep(0.1)
    return made


def _complete_groups(made: deployment.Deployment, name: str) -> int:
    return sum(group.complete for group in statuses.describe(made.views[name]).groups)


async def _send_all(runs: _Run, streams: int) -> None:
    async with trio.open_nursery() as sending:
        for number in range(streams):
            sending.start_soon(_send, runs, f"prompt {number} " * runs.rng.randrange(1, 9))
            await trio.sleep(runs.rng.expovariate(1 / ARRIVAL_SECONDS))


async def _break_engines(runs: _Run) -> None:
    """Now and then let an engine fall silent for some seconds."""
    while True:
        await trio.sleep(runs.rng.uniform(1, 10))
        where = runs.rng.choice(list(runs.made.targets.values()))
        for is_silent in (True, False):
            faults = engine_faults.Faults(silent=is_silent)
            await runs.made.call(where, message.json_request("POST", "/faults", faults))
            await trio.sleep(runs.rng.uniform(0.5, 5))


async def _send(runs: _Run, prompt: str) -> None:
    """Read one stream, resuming at any entry when the own connection breaks."""
    runs.result.streams += 1
    progress = _Progress(prompt)
    for _ in range(MAX_RESUMES):
        try:
            with trio.fail_after(ANSWER_SECONDS):
                ended = await _read(runs, progress)
        except (transport_error.TransportError, trio.TooSlowError):
            runs.result.resumed += bool(progress.token)
            continue
        break
    else:
        ended = "gave up"
    runs.result.ended[ended] += 1
    expected = engine_text.answer(prompt, MAX_TOKENS)
    text = "".join(progress.texts)
    if text != expected if ended == "whole" else not expected.startswith(text):
        runs.result.violations.append(f"{prompt!r}: {ended}, got {text!r}")


async def _read(runs: _Run, progress: _Progress) -> str:
    """Read one connection; return how the stream ended."""
    net = faulty_net.FaultyNet(runs.made.net.face(owner.Owner("caller")), runs.next_caller_fault)
    where = runs.rng.choice(list(runs.made.entries.values()))
    conn = await net.dial(where, 1.0)
    try:
        req = make_request(progress.prompt, progress.token, len(progress.texts))
        await conn.send_request(req, str(where))
        head = await conn.read_response_head()
        if head.status != 200:
            body = msgspec.json.decode(await conn.read_body(10_000), type=errors.ErrorBody)
            return body.error.name
        progress.token = head.headers.get("x-resume-token")
        return await _read_events(runs, conn, progress)
    finally:
        await conn.close()


async def _read_events(
    runs: _Run, conn: http_connection.HttpConnection, progress: _Progress
) -> str:
    texts = progress.texts
    reader = sse.EventReader(conn)
    while True:
        data = await reader.next_data()
        if data is None:
            return "ended without a word"
        if data == sse.DONE:
            return "whole"
        if b'"error"' in data:
            return msgspec.json.decode(data, type=errors.ErrorBody).error.name
        chunk = msgspec.json.decode(data, type=completion.Chunk)
        if chunk.offset != len(texts):
            runs.result.violations.append(f"{chunk.id}: {chunk.offset} after {len(texts)}")
        texts.append(chunk.choices[0].text)


def make_request(prompt: str, token: str = "", offset: int = 0) -> message.Request:
    """Return a caller's request for a stream, or for the rest of one."""
    body = {"model": "scribe", "prompt": prompt, "max_tokens": MAX_TOKENS, "stream": True}
    fields = header_lists.Headers().add("authorization", f"Bearer {_KEY}")
    if token:
        fields.add("x-resume-token", token).add("x-resume-offset", str(offset))
    return message.Request("POST", "/v1/completions", fields, msgspec.json.encode(body))
