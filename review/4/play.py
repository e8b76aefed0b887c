"""A client resumes a stream, and the replica is not told after which event."""

import asyncio
import pathlib
import re
import struct
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import case as cases  # noqa: E402
import client  # noqa: E402
import deployment  # noqa: E402
import http_text  # noqa: E402
import replica as replicas  # noqa: E402

SERVICE = "wuno96b"
EVENTS = 10
STREAMS = 6
EVENT_SECONDS = 0.02
EVENTS_BEFORE_RESET = 3


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
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        host, _, port = self.entry_address.rpartition(":")
        entry_reader, entry_writer = await asyncio.open_connection(host, int(port))
        forwarding = asyncio.create_task(self._forward(reader, entry_writer))
        answer = b""
        try:
            while part := await entry_reader.read(65_536):
                answer += part
                ends = [match.end() for match in re.finditer(rb"\n\n", answer)]
                if self.resets and len(ends) >= EVENTS_BEFORE_RESET:
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
    served = [replicas.Replica(case.store, f"i-7f3a91c{n}", SERVICE, 0.0) for n in range(3)]
    for each in served:
        each.make_answer = lambda req, writer, each=each: stream(each, req, writer)
        await each.start()
    route = deployment.route(
        "/guide/",
        "streaming",
        SERVICE,
        resumable=True,
        max_attempts=2,
        timeout_ms=8000,
        target_latency_ms=400,
        gap_aim_ms=250,
    )
    deployment.write_config(case.store, 7, [route], [SERVICE])
    case.add_entries(2)
    await case.wait_ready()
    proxies = [ResettingProxy(entry.callers, case.has_trouble) for entry in case.entries]
    for proxy in proxies:
        await proxy.start()

    broken = 0
    for number in range(STREAMS):
        broken += await _send(case, served, proxies, number)
    case.note(f"{broken} of {STREAMS} clients got an event twice or not at all")
    return broken > 0


async def _send(case, served, proxies, number):
    """Send one request, and resume it after a reset; return whether its events are wrong."""
    entry = case.entries[number % 2]
    channel = client.Channel(entry.name, proxies[number % 2].address)
    first = await channel.call("POST", "/guide/2f", 8000)
    channel.close()
    got = list_events(first.response)
    case.note(
        f"request {first.attempt} at {entry.name}: events {got}, complete: "
        f"{first.response.is_complete}"
    )
    if not first.response.is_complete:
        other = case.entries[(number + 1) % 2]
        channel = client.Channel(other.name, other.callers)
        extra = {"Last-Event-Id": str(got[-1])} if got else {}
        resumed = await channel.call("POST", "/guide/2f", 8000, extra)
        channel.close()
        seen = [
            fields.get("last-event-id", "none")
            for each in served
            for _, attempt, fields in each.arrivals
            if attempt == resumed.attempt
        ]
        case.note(
            f"request {resumed.attempt} at {other.name} with Last-Event-Id "
            f"{extra.get('Last-Event-Id', 'none')}, at the replica: {', '.join(seen)}; status "
            f"{resumed.response.status}, events {list_events(resumed.response)}, complete: "
            f"{resumed.response.is_complete}"
        )
        got += list_events(resumed.response)
        if not resumed.response.is_complete:
            return False
    return got != list(range(1, EVENTS + 1))


cases.run(str(FOLDER), play)
