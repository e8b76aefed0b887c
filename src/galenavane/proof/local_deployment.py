"""Starts and controls a deployment of real processes on loopback."""

from __future__ import annotations

import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import typing
from collections import abc

import msgspec
import trio

from galenavane.control import table
from galenavane.entry import status as entry_status
from galenavane.net import address as addresses
from galenavane.net import message, round_trip, tcp, transport_error
from galenavane.soak import topology
from galenavane.standin import plain_service, platform_faults
from galenavane.store import instance, stored

DATA_CENTRE = "makole"
CALL_TIMEOUT_SECONDS = 2.0
LISTEN_TIMEOUT_SECONDS = 15.0
READY_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.1
MAX_RESPONSE_BYTES = 10_000_000
_DECLARATIONS = """[service {service}]
kind = plain
idempotent = GET /jobs*
[service {model_service}]
kind = model
members = {members}
fencing = {fencing}
[model {model}]
versions = v1, v2
[account clerks]
key_sha256 = {digest}
[deployment proof]
"""


class LocalDeployment:
    """Processes of one deployment and their addresses.

    :ivar folder: folder for logs, settings and declarations.
    :ivar mutant_name: mutant that the processes run, or ``-`` for unchanged code.
    :ivar processes: process started last, by name.
    :ivar entry_addresses: callers' address by entry name.
    :ivar operator_addresses: operators' address by entry name.
    :ivar process_addresses: address of a target, or an entry's address for its peers, by name.
    """

    __slots__ = (
        "_free_addresses",
        "_proxy_controls",
        "entry_addresses",
        "folder",
        "mutant_name",
        "operator_addresses",
        "platform_address",
        "process_addresses",
        "processes",
    )

    def __init__(self, folder: pathlib.Path, mutant_name: str) -> None:
        self.folder = folder
        self.mutant_name = mutant_name
        self._free_addresses = _find_free_addresses(60)
        self.platform_address = self._free_addresses.pop()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.entry_addresses: dict[str, addresses.Address] = {}
        self.operator_addresses: dict[str, addresses.Address] = {}
        self.process_addresses: dict[str, addresses.Address] = {}
        self._proxy_controls: dict[str, addresses.Address] = {}

    def build_command(self, *args: str) -> list[str]:
        """Return the command line of one galenavane process."""
        return [sys.executable, "-m", "galenavane.proof.wrapped", self.mutant_name, *args]

    def start_process(self, name: str, *args: str) -> None:
        """Start one process that appends its output to its own log file."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self.build_command(*args), stderr=log, stdout=log
            )

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        os.kill(self.processes[name].pid, signal_number)

    def kill_all(self) -> None:
        """Kill every process of this deployment and wait for its end."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def start_platform(self) -> None:
        """Start the stand-in platform."""
        self.start_process("platform", "standin", "platform", str(self.platform_address))

    def start_engine(self, name: str, domain: str, ignores_tokens: bool) -> None:
        """Start one engine at the address that it had before, if any."""
        address = self.process_addresses.setdefault(name, self._free_addresses.pop())
        location = ["--platform", str(self.platform_address), "--data-centre", DATA_CENTRE]
        token_options = ["--ignore-tokens"] if ignores_tokens else []
        self.start_process(
            name,
            "standin",
            "engine",
            name,
            str(address),
            *location,
            "--fabric-domain",
            domain,
            *token_options,
        )

    def start_plain(self, name: str) -> None:
        """Start one process of the plain service at the address that it had before, if any."""
        address = self.process_addresses.setdefault(name, self._free_addresses.pop())
        location = ["--platform", str(self.platform_address), "--data-centre", DATA_CENTRE]
        service = ["--service", topology.PLAIN_SERVICE]
        self.start_process(name, "standin", "plain", name, str(address), *location, *service)

    def start_entry(self, name: str) -> None:
        """Start one entry at the addresses that it had before, if any."""
        callers = self.entry_addresses.setdefault(name, self._free_addresses.pop())
        operators = self.operator_addresses.setdefault(name, self._free_addresses.pop())
        peers = self.process_addresses.setdefault(name, self._free_addresses.pop())
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[entry]\nname = {name}\ndata_centre = {DATA_CENTRE}\ncallers = {callers}\n"
            f"operators = {operators}\npeers = {peers}\n"
            f"[platform]\naddress = {self.platform_address}\n"
        )
        self.start_process(name, "entry", "--settings", str(path))

    async def register_entries(self) -> None:
        """Register the entries with the stand-in platform."""
        for name in self.entry_addresses:
            address = str(self.process_addresses[name])
            entry_instance = instance.Instance(name, address, DATA_CENTRE, instance.Kind.ENTRY)
            await self.register_instance(entry_instance)

    async def register_instance(self, registered: instance.Instance) -> None:
        """Register an instance with the stand-in platform, or change its state there."""
        await call(self.platform_address, message.json_request("POST", "/v1/instances", registered))

    async def start_proxy(self, name: str) -> None:
        """Start a proxy in front of a plain target and register its address as the target's."""
        listen, control = self._free_addresses.pop(), self._free_addresses.pop()
        self._proxy_controls[name] = control
        target = str(self.process_addresses[name])
        self.start_process(f"link-{name}", "standin", "link", str(listen), target, str(control))
        await self.register_instance(
            instance.Instance(
                name,
                str(listen),
                DATA_CENTRE,
                instance.Kind.PLAIN,
                service=topology.PLAIN_SERVICE,
            )
        )

    async def set_proxy_faults(self, name: str, faults: msgspec.Struct) -> None:
        """Set the faults of a target's proxy."""
        await call(self._proxy_controls[name], message.json_request("POST", "/faults", faults))

    async def set_platform_faults(self, faults: platform_faults.Faults) -> None:
        """Set the faults of the stand-in platform."""
        await call(self.platform_address, message.json_request("POST", "/faults", faults))

    async def set_target_faults(self, name: str, faults: msgspec.Struct) -> None:
        """Set the faults of a target."""
        await call(self.process_addresses[name], message.json_request("POST", "/faults", faults))

    async def run_command(self, *args: str) -> subprocess.CompletedProcess[bytes]:
        """Run an operator command and return its exit status and output."""
        command = self.build_command(*args)
        return await trio.run_process(
            command, check=False, capture_stdout=True, capture_stderr=True
        )

    def write_declarations(self, ignores_tokens: bool, groups: int) -> pathlib.Path:
        """Write the declarations and return their folder.

        :param groups: groups of the model service; the maintenance preset has one less.
        """
        folder = self.folder / "declarations"
        folder.mkdir(exist_ok=True)
        text = _DECLARATIONS.format(
            service=topology.PLAIN_SERVICE,
            model_service=topology.MODEL_SERVICE,
            model=topology.MODEL,
            members=topology.GROUP_SIZE,
            fencing="ignored" if ignores_tokens else "checked",
            digest=hashlib.sha256(topology.API_KEY.encode()).hexdigest(),
        )
        for preset, version in sorted(topology.PRESET_VERSIONS.items()):
            count = groups - 1 if preset == "maintenance" else groups
            text += f"[preset {preset}]\n[run {preset}/{topology.MODEL_SERVICE}]\n"
            text += f"model = {topology.MODEL}\nversion = {version}\n"
            text += f"replicas = {DATA_CENTRE}:{count}\n"
        (folder / "all.ini").write_text(text)
        return folder

    async def fetch_status(self, name: str) -> entry_status.EntryStatus | None:
        """Return the status of an entry, or ``None`` when it does not answer."""
        try:
            response = await call(self.operator_addresses[name], message.Request("GET", "/status"))
        except transport_error.TransportError:
            return None
        return msgspec.json.decode(response.body, type=entry_status.EntryStatus)

    async def fetch_table(self) -> table.Table:
        """Return the assignment table that the platform holds."""
        req = message.Request("GET", f"/v1/objects/{table.key(DATA_CENTRE)}")
        response = await call(self.platform_address, req)
        value = msgspec.json.decode(response.body, type=stored.StoredObject).value
        return table.decode(value) if value else table.Table(DATA_CENTRE)

    async def fetch_ledgers(self) -> dict[str, list[plain_service.JobRun]]:
        """Return the ledger of every plain target."""
        ledgers = {}
        for name in self.process_addresses:
            if name.startswith("desk"):
                req = message.Request("GET", "/ledger")
                response = await call(self.process_addresses[name], req)
                ledgers[name] = msgspec.json.decode(response.body, type=list[plain_service.JobRun])
        return ledgers

    async def wait_for_complete_groups(self, count: int, names: abc.Iterable[str]) -> None:
        """Wait until each of the named entries sees exactly ``count`` complete groups.

        :raises trio.TooSlowError: after ``READY_TIMEOUT_SECONDS``.
        """
        with trio.fail_after(READY_TIMEOUT_SECONDS):
            for name in names:
                while True:
                    status = await self.fetch_status(name)
                    if status and sum(group.complete for group in status.groups) == count:
                        break
                    await trio.sleep(POLL_INTERVAL_SECONDS)

    def list_violations(self) -> list[str]:
        """Return the invariant violations that the entries logged."""
        return [
            f"{name} at {event['timestamp']:.2f}: invariant {event['number']}: {event['text']}"
            for name in self.entry_addresses
            for event in self.read_events(name)
            if event["message_type"] == "invariant.violated"
        ]

    def read_events(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the events that a process has logged so far."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


async def call(address: addresses.Address, req: message.Request) -> message.Response:
    """Send a request to a process, first waiting until it listens.

    :raises TransportError: when the process does not listen within ``LISTEN_TIMEOUT_SECONDS``, or
        when the call fails after bytes were sent.
    """
    with trio.move_on_after(LISTEN_TIMEOUT_SECONDS):
        while True:
            try:
                return await round_trip.send(
                    tcp.make(), address, req, CALL_TIMEOUT_SECONDS, MAX_RESPONSE_BYTES
                )
            except transport_error.TransportError as exc:
                if exc.has_sent_bytes:
                    raise
                await trio.sleep(POLL_INTERVAL_SECONDS)
    kind = transport_error.Kind.NOT_CONNECTED
    raise transport_error.TransportError(kind, False, f"{address} does not listen")


def _find_free_addresses(count: int) -> list[addresses.Address]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    free = [addresses.Address("127.0.0.1", opened.getsockname()[1]) for opened in sockets]
    for opened in sockets:
        opened.close()
    return free
