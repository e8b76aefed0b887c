"""Start stand-ins, three entries and a load on loopback, break things, and sum up."""

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
ENTRIES = 3
ENGINES = 6
ORDER_DESKS = 3
LOAD_SECONDS = 20
KEY = "ward-office-key"
RESUME_KEY = "demo-resume-key-of-all-entries"
READY_SECONDS = 20.0
STOP_SECONDS = 10.0


class Demo:
    """The processes of one demo."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.started_at = time.monotonic()

    def say(self, text: str) -> None:
        """Print progress."""
        print(f"[{time.monotonic() - self.started_at:5.1f} s] {text}", flush=True)

    def start(self, name: str, *args: str) -> None:
        """Start one galenavane process that logs to a file of its own."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "galenavane", *args], stderr=log, stdout=log
            )

    def run(self, *args: str) -> int:
        """Run one galenavane command to its end."""
        return subprocess.run([sys.executable, "-m", "galenavane", *args], check=False).returncode

    def kill(self, name: str) -> None:
        """Kill one process without warning."""
        self.processes[name].kill()

    def stop(self) -> None:
        """Stop every process that this demo started."""
        for process in self.processes.values():
            process.terminate()
        deadline = time.monotonic() + STOP_SECONDS
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, deadline - time.monotonic()))
        for process in self.processes.values():
            process.kill()
            process.wait()


def free_addresses(count: int) -> list[str]:
    """Return unused loopback addresses."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    found = [f"127.0.0.1:{one.getsockname()[1]}" for one in sockets]
    for one in sockets:
        one.close()
    return found


def get_json(address: str, path: str) -> dict[str, object]:
    """Ask a process over HTTP; empty when it does not answer."""
    with (
        contextlib.suppress(OSError, ValueError),
        urllib.request.urlopen(f"http://{address}{path}", timeout=2) as answer,
    ):
        found = json.load(answer)
        return found if isinstance(found, dict) else {"items": found}
    return {}


def wait_for(demo: Demo, what: str, holds: abc.Callable[[], bool]) -> None:
    """Wait until something holds; raises when it takes too long."""
    deadline = time.monotonic() + READY_SECONDS
    while not holds():
        if time.monotonic() > deadline:
            raise TimeoutError(f"{what} did not come about within {READY_SECONDS} s")
        time.sleep(0.2)
    demo.say(what)


def complete_groups(operators: str) -> int:
    """Return how many groups an entry sees complete."""
    groups = get_json(operators, "/status").get("groups", [])
    assert isinstance(groups, list)
    return sum(bool(group["complete"]) for group in groups)


def start_entry(demo: Demo, name: str, platform: str, where: list[str]) -> None:
    """Write an entry's settings and start it."""
    path = demo.folder / f"{name}.ini"
    path.write_text(
        f"[entry]\nname = {name}\ndata_centre = {DATA_CENTRE}\n"
        f"callers = {where[0]}\noperators = {where[1]}\npeers = {where[2]}\n"
        f"[platform]\naddress = {platform}\n"
        f"[requests]\nresume_key = {RESUME_KEY}\n"
    )
    demo.start(name, "entry", "--settings", str(path))


def check_ledgers(demo: Demo, plains: list[str], placed: int) -> int:
    """Compare the jobs that ran with those that were placed; return the number of faults."""
    jobs: list[str] = []
    for address in plains:
        ledger = get_json(address, "/ledger").get("items", [])
        assert isinstance(ledger, list)
        jobs += [line["job"] for line in ledger]
    doubled = len(jobs) - len(set(jobs))
    demo.say(f"jobs in the ledgers: {len(jobs)}, doubled: {doubled}, answered: {placed}")
    return doubled + max(0, placed - len(set(jobs)))


def run_demo(demo: Demo) -> int:
    """Run the demo; return the number of faults."""
    found = free_addresses(1 + ENGINES + ORDER_DESKS + 3 * ENTRIES)
    platform = found.pop()
    demo.start("platform", "standin", "platform", platform)
    place = ["--platform", platform, "--data-centre", DATA_CENTRE]
    engines = [found.pop() for _ in range(ENGINES)]
    for number, address in enumerate(engines):
        name = f"engine-{number}"
        domain = ["--fabric-domain", f"domain-{number // 3}"]
        demo.start(name, "standin", "engine", name, address, *place, *domain)
    plains = [found.pop() for _ in range(ORDER_DESKS)]
    for number, address in enumerate(plains):
        name = f"desk-{number}"
        service = ["--service", "order-desk"]
        demo.start(name, "standin", "plain", name, address, *place, *service)
    entries = [[found.pop() for _ in range(3)] for _ in range(ENTRIES)]
    for number, where in enumerate(entries):
        start_entry(demo, f"entry-{number}", platform, where)
    wait_for(demo, "the platform answers", lambda: get_json(platform, "/v1/list") != {})
    if demo.run("apply", str(DECLARATIONS), "--platform", platform, "--preset", "ordinary"):
        return 1
    operators = [where[1] for where in entries]
    wait_for(
        demo,
        "2 groups of 2 members are complete, as every entry sees it",
        lambda: all(complete_groups(one) == 2 for one in operators),
    )
    wait_for(
        demo,
        "every entry is ready",
        lambda: all(get_json(where[0], "/readyz") != {} for where in entries),
    )
    faults = run_load(demo, [where[0] for where in entries], operators)
    summary = json.loads((demo.folder / "load.json").read_text())
    faults += check_ledgers(demo, plains, summary["placed"])
    demo.run("status", operators[1])
    return faults


def run_load(demo: Demo, callers: list[str], operators: list[str]) -> int:
    """Load the entries, killing one of them and one member on the way."""
    output = str(demo.folder / "load.json")
    args = ["--entries", *callers, "--key", KEY, "--seconds", str(LOAD_SECONDS)]
    demo.say(f"load for {LOAD_SECONDS} s through {len(callers)} entries")
    load = subprocess.Popen([sys.executable, "-m", "galenavane", "load", *args, "--output", output])
    demo.processes["load"] = load
    time.sleep(LOAD_SECONDS * 0.25)
    demo.kill("entry-0")
    demo.say("killed entry-0")
    time.sleep(LOAD_SECONDS * 0.25)
    member = first_member(operators[1])
    killed_at = time.monotonic()
    demo.kill(member)
    demo.say(f"killed the group member {member}")
    wait_for(demo, "its group is incomplete", lambda: complete_groups(operators[1]) < 2)
    wait_for(demo, "2 groups are complete again", lambda: complete_groups(operators[1]) == 2)
    demo.say(f"group downtime about {time.monotonic() - killed_at:.1f} s")
    return load.wait(60)


def first_member(operators: str) -> str:
    """Return the second member of the first group."""
    groups = get_json(operators, "/status")["groups"]
    assert isinstance(groups, list)
    return str(groups[0]["members"][1])


def main() -> int:
    """Run the demo in a temporary folder and stop everything, also when interrupted."""
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
    demo.say("demo passed" if not faults else f"demo failed, logs in {folder}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
