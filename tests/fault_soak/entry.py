"""Runs an entry as a separate process."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys

from fault_soak import ports
from galenavane.net import address

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SETTINGS_TEMPLATE = """[entry]
name = {name}
data_centre = {place}
host = 127.0.0.1
callers = {callers}
readiness = {readiness}
peer_port = {peer_port}
[store]
address = {store}
[stop]
grace = 3
[bounds]
revoke = 5
"""


class Entry:
    """An entry process that can be restarted at the same addresses.

    :ivar start_count: number of starts, which identifies the current process.
    :ivar is_disturbed: whether a fault currently affects the process.
    :ivar expected_exits: start counts of the processes that were told to exit.
    """

    def __init__(
        self, name: str, data_centre: str, store_address: address.Address, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.folder = folder
        self.start_count = 0
        self.is_disturbed = False
        self.expected_exits: set[int] = set()
        self.process: subprocess.Popen[bytes] | None = None
        self.caller_address = ports.free_address()
        self.readiness_address = ports.free_address()
        self.settings_path = folder / f"{name}.ini"
        text = SETTINGS_TEMPLATE.format(
            name=name,
            place=data_centre,
            callers=self.caller_address,
            readiness=self.readiness_address,
            peer_port=ports.free_address().port,
            store=store_address,
        )
        self.settings_path.write_text(text)

    def start(self) -> None:
        """Start the process, which appends to the entry's log."""
        self.start_count += 1
        env = {
            **os.environ,
            "GALENAVANE_BOOT": str(self.settings_path),
            "PYTHONPATH": str(ROOT / "src"),
        }
        with open(self.folder / f"{self.name}.log", "ab") as log:
            command = [sys.executable, "-m", "galenavane.platform"]
            self.process = subprocess.Popen(command, stdout=log, stderr=log, env=env)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def handles_reload(self) -> bool:
        """Return whether the process ignores or catches SIGHUP."""
        if self.process is None or self.process.poll() is not None:
            return False
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        bits = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        return bool(bits >> signal.SIGHUP - 1 & 1)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.expected_exits.add(self.start_count)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def has_exited(self) -> bool:
        """Return whether the process has exited."""
        return self.process is not None and self.process.poll() is not None

    def has_exited_unexpectedly(self) -> bool:
        """Return whether the process has exited without being told to."""
        return self.has_exited() and self.start_count not in self.expected_exits
