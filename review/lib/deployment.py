"""Starts entries with the run line and the settings template of the deploy file."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import time
import tomllib

import client
import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("makole", "kikuyu", "chamwino")
BOUNDS = {
    "contact_ms": 3000,
    "grace_s": 8,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 130,
}
"""Bounds of the site dmwa-engrave."""
START_SECONDS = 20.0


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a port that nothing listens on, below the range of outgoing connections."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            return port


def look_up(fields: dict, dotted: str) -> object:
    """Return the value of a placeholder's name."""
    value: object = fields
    for part in dotted.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part, "")
    return value


def render(template: str, fields: dict) -> str:
    """Fill in a settings template; sections are rendered once if their value is present."""

    def fill_section(match: re.Match) -> str:
        value = look_up(fields, match[1])
        return match[2].replace("{{.}}", str(value)) if value not in ("", None, False) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(fields, match[1])), text)


class Entry:
    """An entry process that can be stopped and started again at the same addresses.

    :ivar started_at: monotonic time of its last start.
    """

    def __init__(self, number: int, store_address: str, folder: pathlib.Path) -> None:
        zone = ZONES[number % len(ZONES)]
        self.name = f"edge-{zone}-{number // len(ZONES) + 1}"
        self.callers = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.started_at = 0.0
        self.process: subprocess.Popen | None = None
        role = next(
            iter(tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values())
        )
        self._command = role["run"].split()
        fields = {
            "node_name": self.name,
            "zone": zone,
            "ip": "127.0.0.1",
            "listen": {"front": self.callers, "ready": self.ready},
            "limits": {"link_mbps": 1000.0},
            "internal_ports": [free_port(), 0],
            "provider": {"address": store_address},
            "bounds": BOUNDS,
        }
        self._settings = folder / f"{self.name}.ini"
        self._settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        self._log_path = folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the process; what it prints goes to a file of the temporary folder."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GALENAVANE_BOOT": str(self._settings),
        }
        self.started_at = time.monotonic()
        with open(self._log_path, "ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self, seconds: float = START_SECONDS) -> bool:
        """Wait until the process says that it is ready; return whether it does."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if await client.fetch_status(self.ready, "/readyz") == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    def read_log(self, *words: str) -> list[str]:
        """Return the lines of the process's log that hold one of the words."""
        lines = self._log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if any(word in line for word in words)]


def route(prefix: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route of a configuration."""
    return {
        "name": "r" + prefix.replace("/", "-"),
        "hostname": client.HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 200,
        "priority": 2,
        "backend": service,
        "max_attempts": 1,
        "public": False,
        **changes,
    }


def write_config(
    store: stores.Store,
    version: int,
    routes: list[dict],
    services: list[str],
    engines: dict[str, dict] | None = None,
) -> None:
    """Write a configuration as the operator does.

    :param engines: ``engine`` of the services that have one.
    """
    spec = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 96,
                "protocol": "h1",
                **({"engine": engines[name]} if engines and name in engines else {}),
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [client.KEY], "priority": 1}],
    }
    store.put("config", "main", spec)
