"""Steps for entry processes that get a signal while they start."""

from __future__ import annotations

import os
import subprocess
import sys

import trio
from behave import then, when
from steps import platform_world

from galenavane.net import address, connection_pool, message, tcp, transport_error

SETTINGS = """[entry]
name = e1
data_centre = dc
host = 127.0.0.1
callers = {callers}
readiness = {readiness}
peer_port = {peer_port}
[store]
address = {store}
"""
# Runs an entry that sends itself SIGHUP at an audit event with a certain argument.
LAUNCHER = """
import os, runpy, signal, sys
def audit(event, args):
    if sent or event != sys.argv[1] or sys.argv[2] not in repr(args):
        return
    sent.append(1)
    os.kill(os.getpid(), signal.SIGHUP)
sent = []
sys.addaudithook(audit)
runpy.run_module("galenavane.platform", run_name="__main__")
"""


def find_moment(step, readiness, callers, path):
    """Return the audit event of a step of the start, and a part of its arguments."""
    return {
        "imports trio": ("import", "'trio'"),
        "imports its tasks": ("import", "'galenavane.gateway.process'"),
        "reads its settings": ("open", str(path)),
        "binds its first address": ("socket.bind", str(readiness.port)),
        "binds its last address": ("socket.bind", str(callers.port)),
    }[step]


@when("an entry gets SIGHUP as it {step}")
def start_entry(context, step):
    context.readiness, callers, store = (
        address.Address(platform_world.HOST, platform_world.free_port()) for _ in range(3)
    )
    path = context.folder / "entry.ini"
    peer_port = platform_world.free_port()
    path.write_text(
        SETTINGS.format(
            callers=callers, readiness=context.readiness, peer_port=peer_port, store=store
        )
    )
    env = {
        **os.environ,
        "GALENAVANE_BOOT": str(path),
        "PYTHONPATH": str(context.root / "src"),
    }
    moment = find_moment(step, context.readiness, callers, path)
    with open(context.folder / "entry.log", "wb") as log:
        context.process = subprocess.Popen(
            [sys.executable, "-c", LAUNCHER, *moment], stdout=log, stderr=log, env=env
        )


@then("the entry answers at its readiness address within {seconds:d} s")
def check_answers(context, seconds):
    async def ask():
        pool = connection_pool.make(tcp.make())
        with trio.fail_after(seconds):
            while context.process.poll() is None:
                try:
                    req = message.Request("GET", "/readyz")
                    return await pool.send(context.readiness, req, 1.0, 1_000)
                except transport_error.TransportError:
                    await trio.sleep(0.05)
        raise AssertionError(f"the entry exited with {context.process.returncode}")

    try:
        assert trio.run(ask).status in (200, 503)
        assert context.process.poll() is None, context.process.returncode
    finally:
        context.process.kill()
        context.process.wait()
