"""Runs an entry process on the users' platform, with settings rendered by the platform."""

from __future__ import annotations

import os
import pathlib
import random
import sys
import uuid

import eliot
import trio

from galenavane.config import settings as settings_files
from galenavane.failure import failure
from galenavane.gateway import process, settings, state
from galenavane.net import address, connection_pool, tcp
from galenavane.observe import events, log_sink
from galenavane.peer import zmq_transport
from galenavane.platform import store_client, wire_codec

SETTINGS_VARIABLE = "GALENAVANE_BOOT"
EXIT_USER_ERROR = 2


def main() -> int:
    """Run until the process receives a stop signal, and return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"galenavane: {SETTINGS_VARIABLE} is not set to a settings file", file=sys.stderr)
        return EXIT_USER_ERROR
    try:
        cfg = settings_files.load(pathlib.Path(path), settings.ALL)
    except failure.UserError as exc:
        print(f"galenavane: error {exc.failure.code.value}: {exc}", file=sys.stderr)
        return EXIT_USER_ERROR
    sink = log_sink.open_sink(sys.stdout.fileno())
    eliot.add_destinations(sink)
    incarnation = uuid.uuid4().hex[:12]
    events.name_process(cfg.get(settings.NAME), cfg.get(settings.DATA_CENTRE), incarnation)
    errors: list[failure.UserError] = []
    try:
        trio.run(_run, cfg, incarnation, sink)
    except* failure.UserError as group:
        errors += _flatten_errors(group)
    for error in errors:
        print(f"galenavane: error {error.failure.code.value}: {error}", file=sys.stderr)
    return EXIT_USER_ERROR if errors else 0


def _flatten_errors(group: BaseExceptionGroup[failure.UserError]) -> list[failure.UserError]:
    errors: list[failure.UserError] = []
    for error in group.exceptions:
        errors += _flatten_errors(error) if isinstance(error, BaseExceptionGroup) else [error]
    return errors


async def _run(cfg: settings_files.Settings, incarnation: str, sink: log_sink.LogSink) -> None:
    net = tcp.make()
    peer_address = address.Address(cfg.get(settings.HOST), cfg.get(settings.PEER_PORT))
    messages = zmq_transport.make(peer_address)
    store = store_client.make(connection_pool.make(net), cfg.get(settings.STORE))
    gw = state.Gateway(
        cfg, incarnation, store, wire_codec.make(), net, messages, random.SystemRandom()
    )
    await process.run(gw, sink)
