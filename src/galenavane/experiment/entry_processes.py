"""Runs a stand-in platform and entries as processes on loopback."""

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
READY_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 20.0
MAX_RESPONSE_BYTES = 1_000_000


@dataclasses.dataclass(slots=True)
class Entry:
    """An entry and its process.

    :ivar log_path: file with its log events.
    :ivar process: ``None`` before the first start.
    """

    name: str
    data_centre: str
    caller_address: addresses.Address
    operator_address: addresses.Address
    peer_address: addresses.Address
    log_path: pathlib.Path
    process: subprocess.Popen[bytes] | None = None


class Deployment:
    """A stand-in platform and entries.

    :ivar folder: temporary folder with settings and logs.
    :ivar isolated_data_centres: data centres whose entries are configured with a platform address
        on which nothing listens.
    """

    __slots__ = (
        "_curve_key",
        "_platform",
        "entries",
        "folder",
        "isolated_data_centres",
        "platform_address",
    )

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="galenavane-experiment-"))
        self.platform_address = find_free_address()
        self.entries: list[Entry] = []
        self.isolated_data_centres: set[str] = set()
        self._curve_key = curve_key.generate()
        self._platform: subprocess.Popen[bytes] | None = None

    def make_platform_client(self) -> api.Api:
        """Return a client of the platform."""
        return client.make(tcp.make(), self.platform_address, TIMEOUT_SECONDS)

    async def start_platform(self) -> None:
        """Start the stand-in platform and wait until it answers."""
        log_path = self.folder / "platform.log"
        self._platform = _spawn(log_path, "standin", "platform", str(self.platform_address))
        await wait_until_ready(self.platform_address, "/v1/calls")

    def add_entry(self, name: str, data_centre: str) -> Entry:
        """Add an entry with unused addresses, without starting it."""
        log_path = self.folder / f"{name}.log"
        caller, operator, peer = find_free_address(), find_free_address(), find_free_address()
        entry = Entry(name, data_centre, caller, operator, peer, log_path)
        self.entries.append(entry)
        return entry

    def start_entry(self, entry: Entry) -> None:
        """Start an entry with up to eight of the others as its seeds."""
        platform_address = (
            find_free_address()
            if entry.data_centre in self.isolated_data_centres
            else self.platform_address
        )
        seeds = " ".join(
            str(other.peer_address) for other in self.entries[:8] if other is not entry
        )
        settings_path = self.folder / f"{entry.name}.ini"
        settings_path.write_text(
            f"[entry]\nname = {entry.name}\ndata_centre = {entry.data_centre}\n"
            f"callers = {entry.caller_address}\noperators = {entry.operator_address}\n"
            f"peers = {entry.peer_address}\n"
            f"[platform]\naddress = {platform_address}\n"
            f"[peers]\nseeds = {seeds}\nkeys = {self._curve_key}\n"
        )
        entry.process = _spawn(entry.log_path, "entry", "--settings", str(settings_path))

    async def set_faults(self, faults: platform_faults.Faults) -> None:
        """Replace the faults that the platform simulates."""
        req = message.json_request("POST", "/faults", faults)
        await round_trip.send(
            tcp.make(), self.platform_address, req, TIMEOUT_SECONDS, MAX_RESPONSE_BYTES
        )

    def stop(self) -> None:
        """Stop all processes of this deployment."""
        running = [entry.process for entry in self.entries if entry.process is not None]
        for process in running:
            process.send_signal(signal.SIGTERM)
        for process in running:
            process.wait(STOP_TIMEOUT_SECONDS)
        if self._platform is not None:
            self._platform.kill()
            self._platform.wait()


async def wait_until_ready(address: addresses.Address, path: str) -> float:
    """Wait until a process responds with status 200; return the seconds that it took.

    :raises TimeoutError: when that takes longer than ``READY_TIMEOUT_SECONDS``.
    """
    started_at = time.monotonic()
    while time.monotonic() < started_at + READY_TIMEOUT_SECONDS:
        try:
            req = message.Request("GET", path)
            response = await round_trip.send(
                tcp.make(), address, req, TIMEOUT_SECONDS, MAX_RESPONSE_BYTES
            )
            if response.status == 200:
                return time.monotonic() - started_at
        except transport_error.TransportError:
            pass
        await trio.sleep(0.02)
    raise TimeoutError(
        f"{address}{path} did not respond with status 200 within {READY_TIMEOUT_SECONDS} s"
    )


def read_events(entry: Entry, name: str) -> list[dict[str, typing.Any]]:
    """Return the log events of an entry that have a given name."""
    events = []
    for line in entry.log_path.read_text().splitlines():
        if f'"{name}"' in line:
            events.append(json.loads(line))
    return [event for event in events if event.get("message_type") == name]


def read_cpu_seconds(process: subprocess.Popen[bytes]) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_resident_bytes(process: subprocess.Popen[bytes]) -> int:
    """Return the resident memory of a process in bytes."""
    fields = pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def find_free_address() -> addresses.Address:
    """Return an unused loopback address."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return addresses.Address("127.0.0.1", listener.getsockname()[1])


def _spawn(log_path: pathlib.Path, *args: str) -> subprocess.Popen[bytes]:
    with open(log_path, "ab") as output:
        return subprocess.Popen(
            [sys.executable, "-m", "galenavane", *args], stdout=output, stderr=output
        )
