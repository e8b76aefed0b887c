"""Starts a stand-in platform and entries as separate processes on loopback."""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import trio

from galenavane.net import address as addresses
from galenavane.net import curve_key, message, round_trip, tcp, transport_error
from galenavane.standin import platform_faults
from galenavane.store import api, client

TIMEOUT_SECONDS = 5.0
READY_SECONDS = 60.0
STOP_SECONDS = 20.0
MAX_ANSWER_BYTES = 1_000_000


@dataclasses.dataclass(slots=True)
class Entry:
    """One entry process.

    :ivar log: file with its events.
    """

    name: str
    data_centre: str
    callers: addresses.Address
    operators: addresses.Address
    peers: addresses.Address
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None


class Processes:
    """A stand-in platform and entries.

    :ivar dead: data centres whose entries get a platform address where nothing listens.
    """

    __slots__ = ("_key", "_platform", "dead", "entries", "folder", "platform_address")

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="galenavane-experiment-"))
        self.platform_address = free_address()
        self.entries: list[Entry] = []
        self.dead: set[str] = set()
        self._key = curve_key.generate()
        self._platform: subprocess.Popen[bytes] | None = None

    def platform(self) -> api.Api:
        """Return a client of the platform."""
        return client.make(tcp.make(), self.platform_address, TIMEOUT_SECONDS)

    async def start_platform(self) -> None:
        """Start the stand-in platform and wait until it answers."""
        log = self.folder / "platform.log"
        self._platform = _spawn(log, "standin", "platform", str(self.platform_address))
        await wait_answer(self.platform_address, "/v1/calls")

    def add(self, name: str, data_centre: str) -> Entry:
        """Choose the addresses of an entry."""
        log = self.folder / f"{name}.log"
        callers, operators, peers = free_address(), free_address(), free_address()
        entry = Entry(name, data_centre, callers, operators, peers, log)
        self.entries.append(entry)
        return entry

    def start(self, entry: Entry) -> None:
        """Start an entry; every other one is its seed."""
        platform = free_address() if entry.data_centre in self.dead else self.platform_address
        seeds = " ".join(str(one.peers) for one in self.entries[:8] if one is not entry)
        path = self.folder / f"{entry.name}.ini"
        path.write_text(
            f"[entry]\nname = {entry.name}\ndata_centre = {entry.data_centre}\n"
            f"callers = {entry.callers}\noperators = {entry.operators}\npeers = {entry.peers}\n"
            f"[platform]\naddress = {platform}\n[peers]\nseeds = {seeds}\nkeys = {self._key}\n"
        )
        entry.process = _spawn(entry.log, "entry", "--settings", str(path))

    async def set_faults(self, faults: platform_faults.Faults) -> None:
        """Switch the platform's faults."""
        req = message.json_request("POST", "/faults", faults)
        await round_trip.send(
            tcp.make(), self.platform_address, req, TIMEOUT_SECONDS, MAX_ANSWER_BYTES
        )

    def stop(self) -> None:
        """Stop every process that was started here."""
        running = [one.process for one in self.entries if one.process is not None]
        for process in running:
            process.send_signal(signal.SIGTERM)
        for process in running:
            process.wait(STOP_SECONDS)
        if self._platform is not None:
            self._platform.kill()
            self._platform.wait()


async def wait_answer(where: addresses.Address, path: str) -> float:
    """Wait until a process answers 200; return the seconds that it took.

    :raises TimeoutError: when it takes over ``READY_SECONDS``.
    """
    began = time.monotonic()
    while time.monotonic() < began + READY_SECONDS:
        try:
            req = message.Request("GET", path)
            answer = await round_trip.send(
                tcp.make(), where, req, TIMEOUT_SECONDS, MAX_ANSWER_BYTES
            )
            if answer.status == 200:
                return time.monotonic() - began
        except transport_error.TransportError:
            pass
        await trio.sleep(0.02)
    raise TimeoutError(f"{where}{path} did not answer 200 within {READY_SECONDS} s")


def events(entry: Entry, name: str) -> list[dict[str, typing.Any]]:
    """Return the logged events of a name."""
    found = []
    for line in entry.log.read_text().splitlines():
        if f'"{name}"' in line:
            found.append(json.loads(line))
    return [one for one in found if one.get("message_type") == name]


def processor_seconds(process: subprocess.Popen[bytes]) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(process: subprocess.Popen[bytes]) -> int:
    """Return the memory that a process has resident."""
    fields = pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def free_address() -> addresses.Address:
    """Return an unused loopback address."""
    with socket.create_server(("127.0.0.1", 0)) as found:
        return addresses.Address("127.0.0.1", found.getsockname()[1])


def _spawn(log: pathlib.Path, *args: str) -> subprocess.Popen[bytes]:
    with open(log, "ab") as output:
        return subprocess.Popen(
            [sys.executable, "-m", "galenavane", *args], stdout=output, stderr=output
        )
