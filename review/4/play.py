"""A client resumes a stream, and the replica is not told after which event."""

import asyncio
import pathlib
import re
import socket
import struct
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import case as cases  # noqa: E402
import client  # noqa: E402
import deployment  # noqa: E402
import http_text  # noqa: E402
import model_replica  # noqa: E402
import replica as replicas  # noqa: E402

MODEL_SERVICE = "huvo11a"
PLAIN_SERVICE = "wuno96b"
MODEL = "daka510000"
ENGINE = {
    "slots": 13,
    "kv_tokens": 1_235_000,
    "stride": 6,
    "models": [
        {"name": MODEL, "size": 3, "share": 1.0, "pace": 1.0, "load_s": 12.0, "warm_s": 1.1}
    ],
    "step_ms": 6.45,
    "per_seq_ms": 0.1934,
    "read_per_s": 56100.0,
    "loads_per_s": 5.5,
    "loads_at_once": 8,
    "usual": {"prompt": 1115, "answer": 152},
    "keeps": 1,
    "far_x": 2.5,
    "form_ms": 300.0,
}
DOMAINS = 2
REPLICAS_PER_DOMAIN = 4
EVENTS = 10
STREAMS = 120
STREAMS_AT_ONCE = 12
RESET_SHARE = 2
"""Every second channel to one of the entries is reset."""
EVENT_SECONDS = 0.02
EVENTS_BEFORE_RESET = 3


FIELDS = {"Model": MODEL, "Token-Usage": "1460,80", "Prompt-Prefix": "5c1e07a2:800,e4402b7d:250"}


def make_event(number):
    """Return one event of a stream."""
    return b"id: %d\ndata: %s\n\n" % (number, b"%d " % number * 12)


async def stream(served, req, writer):
    """Answer with the events after the one that the request names."""
    first = int(req.headers.get("last-event-id", "0")) + 1
    fields = {**served.answer_fields(req), "Content-Type": "text/event-stream"}
    writer.write(http_text.make_head(200, {**fields, "Transfer-Encoding": "chunked"}))
    for number in range(first, EVENTS + 1):
        await asyncio.sleep(EVENT_SECONDS)
        event = make_event(number)
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


class ResettingProxy:
    """Forwards the bytes of one channel, and resets it after the first events of the answer."""

    def __init__(self, entry_address, resets):
        self.entry_address = entry_address
        self.resets = resets
        self.accepted = 0
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        host, _, port = self.entry_address.rpartition(":")
        entry_reader, entry_writer = await asyncio.open_connection(host, int(port))
        forwarding = asyncio.create_task(self._forward(reader, entry_writer))
        self.accepted += 1
        is_reset = self.resets and self.accepted % RESET_SHARE == 0
        answer = b""
        try:
            while part := await entry_reader.read(65_536):
                answer += part
                ends = [match.end() for match in re.finditer(rb"\n\n", answer)]
                if is_reset and len(ends) >= EVENTS_BEFORE_RESET:
                    cut = ends[EVENTS_BEFORE_RESET - 1]
                    writer.write(answer[len(answer) - len(part) : cut])
                    await writer.drain()
                    # What is unread at a reset is discarded.
                    await asyncio.sleep(0.1)
                    for each in (writer, entry_writer):
                        each.get_extra_info("socket").setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                        )
                    return
                writer.write(part)
                await writer.drain()
        except OSError:
            pass
        finally:
            forwarding.cancel()
            writer.close()
            entry_writer.close()

    async def _forward(self, reader, writer):
        while part := await reader.read(65_536):
            writer.write(part)
            await writer.drain()


def list_events(response):
    """Return the numbers of the complete events of a response."""
    return [int(number) for number in re.findall(rb"id: (\d+)\n[^\n]*\n\n", response.body)]


async def play(case):
    """Return whether a client got an event twice."""
    plain = [replicas.Replica(case.store, f"i-7f3a91c{n}", PLAIN_SERVICE, 0.0) for n in range(3)]
    heads = [
        model_replica.ModelReplica(
            case.store, f"i-02d9e{domain}b{number}", MODEL_SERVICE, MODEL, f"domain-{domain}"
        )
        for domain in range(DOMAINS)
        for number in range(REPLICAS_PER_DOMAIN)
    ]
    served = [*plain, *heads]
    for each in served:
        each.make_answer = lambda req, writer, each=each: stream(each, req, writer)
        await each.start()
    route = deployment.route(
        "/lohu930/",
        "streaming",
        MODEL_SERVICE,
        timeout_ms=8000,
        target_latency_ms=400,
        priority=1,
        traffic_split=[
            {"backend": MODEL_SERVICE, "weight": 90},
            {"backend": PLAIN_SERVICE, "weight": 10},
        ],
        max_attempts=2,
        sticky=True,
        resumable=True,
        gap_aim_ms=250,
    )
    del route["backend"]
    services = [MODEL_SERVICE, PLAIN_SERVICE]
    deployment.write_config(case.store, 7, [route], services, {MODEL_SERVICE: ENGINE})
    case.add_entries(3)
    await case.wait_ready()
    await _wait_open(case, heads)
    proxy = ResettingProxy(case.entries[0].callers, case.has_trouble)
    await proxy.start()

    broken = 0
    for first in range(0, STREAMS, STREAMS_AT_ONCE):
        numbers = range(first, first + STREAMS_AT_ONCE)
        broken += sum(
            await asyncio.gather(*(_send(case, served, proxy, number) for number in numbers))
        )
    case.note(f"{broken} of {STREAMS} clients got an event twice or not at all")
    return broken > 0


async def _wait_open(case, heads):
    ends_at = time.monotonic() + 30.0
    while sum(bool(each.group) and each.group["state"] == "open" for each in heads) < DOMAINS:
        if time.monotonic() > ends_at:
            raise cases.CannotRun("no group of each domain is open")
        await asyncio.sleep(0.05)
    case.note("a group of each domain is open")
    await asyncio.sleep(1.0)


async def _send(case, served, proxy, number):
    """Send one request, and resume it after a reset; return whether its events are wrong."""
    entry = case.entries[0]
    channel = client.Channel(entry.name, proxy.address)
    first = await channel.call("POST", "/lohu930/2f", 8000, FIELDS)
    channel.close()
    got = list_events(first.response)
    case.note(
        f"request {first.attempt} at {entry.name}: events {got}, complete as framed: "
        f"{first.response.is_complete}"
    )
    if not first.response.is_complete:
        other = case.entries[1 + number % 2]
        channel = client.Channel(other.name, other.callers)
        extra = {**FIELDS, **({"Last-Event-Id": str(got[-1])} if got else {})}
        resumed = await channel.call("POST", "/lohu930/2f", 8000, extra)
        channel.close()
        seen = [
            f"{each.id} ({each.service}) gets {fields.get('last-event-id', 'none')}"
            for each in served
            for _, attempt, fields in each.arrivals
            if attempt == resumed.attempt
        ]
        case.note(
            f"request {resumed.attempt} at {other.name} with Last-Event-Id "
            f"{extra.get('Last-Event-Id', 'none')}, {', '.join(seen) or 'not run'}; status "
            f"{resumed.response.status}, events {list_events(resumed.response)}, complete: "
            f"{resumed.response.is_complete}"
        )
        got += list_events(resumed.response)
        if not resumed.response.is_complete:
            return False
    return got != list(range(1, EVENTS + 1))


cases.run(FOLDER / "record.txt", play)
