"""One entry as a process of its own."""

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
    """The process, its addresses and how often it was started."""

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
        """Start the program, which appends to its log."""
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
        """Send a signal to the process that this soak started, if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """End the process at once."""
        self.expected_exits.add(self.start_count)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def has_exited(self) -> bool:
        """Whether the process is over."""
        return self.process is not None and self.process.poll() is not None

    def has_exited_unexpectedly(self) -> bool:
        """Whether the process ended though nobody told it to."""
        return self.has_exited() and self.start_count not in self.expected_exits
