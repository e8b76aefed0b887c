"""Run stand-ins, three entries and a load on loopback, kill processes and report the results."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections import abc

ROOT = pathlib.Path(__file__).resolve().parent.parent
DECLARATIONS = ROOT / "examples" / "dodoma"
DATA_CENTRE = "makole"
ENTRY_COUNT = 3
ENGINE_COUNT = 6
PLAIN_TARGET_COUNT = 3
LOAD_SECONDS = 20
API_KEY = "ward-office-key"
RESUME_KEY = "demo-resume-key-of-all-entries"
READY_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0


class Demo:
    """Processes of one demo, with their logs in one folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.started_at = time.monotonic()

    def print_progress(self, text: str) -> None:
        """Print a message with the time since the start."""
        print(f"[{time.monotonic() - self.started_at:5.1f} s] {text}", flush=True)

    def start(self, name: str, *args: str) -> None:
        """Start a galenavane process that logs to its own file."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "galenavane", *args], stderr=log, stdout=log
            )

    def run(self, *args: str) -> int:
        """Run a galenavane command and return its exit code."""
        return subprocess.run([sys.executable, "-m", "galenavane", *args], check=False).returncode

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self.processes[name].kill()

    def stop(self) -> None:
        """Stop all processes that this demo started."""
        for process in self.processes.values():
            process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, deadline - time.monotonic()))
        for process in self.processes.values():
            process.kill()
            process.wait()


def find_free_addresses(count: int) -> list[str]:
    """Return unused loopback addresses."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{listener.getsockname()[1]}" for listener in sockets]
    for listener in sockets:
        listener.close()
    return addresses


def get_json(address: str, path: str) -> dict[str, object]:
    """Return the JSON object that a process serves; empty when it serves none.

    A list is returned as the value of the key ``items``.
    """
    with (
        contextlib.suppress(OSError, ValueError),
        urllib.request.urlopen(f"http://{address}{path}", timeout=2) as response,
    ):
        decoded = json.load(response)
        return decoded if isinstance(decoded, dict) else {"items": decoded}
    return {}


def wait_for(demo: Demo, condition: str, is_met: abc.Callable[[], bool]) -> None:
    """Wait until a condition is met.

    :param condition: text to print when it is met.
    :raises TimeoutError: when that takes longer than ``READY_TIMEOUT_SECONDS``.
    """
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while not is_met():
        if time.monotonic() > deadline:
            raise TimeoutError(f"{condition}: timed out after {READY_TIMEOUT_SECONDS} s")
        time.sleep(0.2)
    demo.print_progress(condition)


def count_complete_groups(operator_address: str) -> int:
    """Return the number of groups that an entry reports as complete."""
    groups = get_json(operator_address, "/status").get("groups", [])
    assert isinstance(groups, list)
    return sum(bool(group["complete"]) for group in groups)


def start_entry(demo: Demo, name: str, platform: str, addresses: list[str]) -> None:
    """Write the settings of an entry and start it.

    :param addresses: its addresses for callers, operators and peers.
    """
    path = demo.folder / f"{name}.ini"
    path.write_text(
        f"[entry]\nname = {name}\ndata_centre = {DATA_CENTRE}\n"
        f"callers = {addresses[0]}\noperators = {addresses[1]}\n"
        f"peers = {addresses[2]}\n"
        f"[platform]\naddress = {platform}\n"
        f"[requests]\nresume_key = {RESUME_KEY}\n"
    )
    demo.start(name, "entry", "--settings", str(path))


def check_ledgers(demo: Demo, plain_addresses: list[str], placed: int) -> int:
    """Compare executed jobs with answered ones; return the number of jobs duplicated or lost."""
    jobs: list[str] = []
    for address in plain_addresses:
        ledger = get_json(address, "/ledger").get("items", [])
        assert isinstance(ledger, list)
        jobs += [record["job"] for record in ledger]
    duplicated = len(jobs) - len(set(jobs))
    demo.print_progress(
        f"jobs in the ledgers: {len(jobs)}, doubled: {duplicated}, answered: {placed}"
    )
    return duplicated + max(0, placed - len(set(jobs)))


def run_demo(demo: Demo) -> int:
    """Run the demo; return the number of errors found."""
    free = find_free_addresses(1 + ENGINE_COUNT + PLAIN_TARGET_COUNT + 3 * ENTRY_COUNT)
    platform = free.pop()
    demo.start("platform", "standin", "platform", platform)
    platform_args = ["--platform", platform, "--data-centre", DATA_CENTRE]
    engine_addresses = [free.pop() for _ in range(ENGINE_COUNT)]
    for number, address in enumerate(engine_addresses):
        name = f"engine-{number}"
        domain = ["--fabric-domain", f"domain-{number // 3}"]
        demo.start(name, "standin", "engine", name, address, *platform_args, *domain)
    plain_addresses = [free.pop() for _ in range(PLAIN_TARGET_COUNT)]
    for number, address in enumerate(plain_addresses):
        name = f"desk-{number}"
        service = ["--service", "order-desk"]
        demo.start(name, "standin", "plain", name, address, *platform_args, *service)
    entry_addresses = [[free.pop() for _ in range(3)] for _ in range(ENTRY_COUNT)]
    for number, addresses in enumerate(entry_addresses):
        start_entry(demo, f"entry-{number}", platform, addresses)
    wait_for(demo, "the platform answers", lambda: get_json(platform, "/v1/list") != {})
    if demo.run("apply", str(DECLARATIONS), "--platform", platform, "--preset", "ordinary"):
        return 1
    operator_addresses = [addresses[1] for addresses in entry_addresses]
    wait_for(
        demo,
        "2 groups of 2 members are complete, as every entry sees it",
        lambda: all(count_complete_groups(address) == 2 for address in operator_addresses),
    )
    wait_for(
        demo,
        "every entry is ready",
        lambda: all(get_json(addresses[0], "/readyz") != {} for addresses in entry_addresses),
    )
    faults = run_load(demo, [addresses[0] for addresses in entry_addresses], operator_addresses)
    summary = json.loads((demo.folder / "load.json").read_text())
    faults += check_ledgers(demo, plain_addresses, summary["placed"])
    demo.run("status", operator_addresses[1])
    return faults


def run_load(demo: Demo, caller_addresses: list[str], operator_addresses: list[str]) -> int:
    """Send a load through the entries and kill an entry and a group member during it.

    :returns: exit code of the load.
    """
    output = str(demo.folder / "load.json")
    args = ["--entries", *caller_addresses, "--key", API_KEY, "--seconds", str(LOAD_SECONDS)]
    demo.print_progress(f"load for {LOAD_SECONDS} s through {len(caller_addresses)} entries")
    load = subprocess.Popen([sys.executable, "-m", "galenavane", "load", *args, "--output", output])
    demo.processes["load"] = load
    time.sleep(LOAD_SECONDS * 0.25)
    demo.kill("entry-0")
    demo.print_progress("killed entry-0")
    time.sleep(LOAD_SECONDS * 0.25)
    member = find_member_to_kill(operator_addresses[1])
    killed_at = time.monotonic()
    demo.kill(member)
    demo.print_progress(f"killed the group member {member}")
    wait_for(
        demo, "its group is incomplete", lambda: count_complete_groups(operator_addresses[1]) < 2
    )
    wait_for(
        demo,
        "2 groups are complete again",
        lambda: count_complete_groups(operator_addresses[1]) == 2,
    )
    demo.print_progress(f"group downtime about {time.monotonic() - killed_at:.1f} s")
    return load.wait(60)


def find_member_to_kill(operator_address: str) -> str:
    """Return the name of the second member of the first group."""
    groups = get_json(operator_address, "/status")["groups"]
    assert isinstance(groups, list)
    return str(groups[0]["members"][1])


def main() -> int:
    """Run the demo in a temporary folder, or in ``DEMO_DIR``, and stop all its processes."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    folder = pathlib.Path(os.environ.get("DEMO_DIR", "") or tempfile.mkdtemp(prefix="galenavane-"))
    folder.mkdir(parents=True, exist_ok=True)
    demo = Demo(folder)
    try:
        faults = run_demo(demo)
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        faults = 1
    finally:
        demo.stop()
    demo.print_progress("demo passed" if not faults else f"demo failed, logs in {folder}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
