"""Entry process: starts the tasks and shuts them down gracefully."""

from __future__ import annotations

import random
import signal
import uuid
from collections import abc

import trio

from galenavane.config import settings
from galenavane.entry import (
    configuration_task,
    control_task,
    instances_task,
    lease_task,
    meter_task,
    operators,
    records_task,
    registration_task,
    reports_task,
    routing_task,
    tables_task,
)
from galenavane.entry import view as views
from galenavane.net import curve_key, tcp
from galenavane.observe import events
from galenavane.peer import task as peer_task
from galenavane.peer import zmq_transport
from galenavane.serve import caller_handler
from galenavane.store import client as platform_client
from galenavane.target import client as target_client


async def run(cfg: settings.Settings) -> None:
    """Serve until SIGTERM or SIGINT, then finish the requests in flight."""
    incarnation = uuid.uuid4().hex
    events.start_logging(cfg.get(settings.NAME), cfg.get(settings.DATA_CENTRE), incarnation, None)
    net = tcp.make()
    view = views.View(
        cfg=cfg,
        incarnation=incarnation,
        platform=platform_client.make(
            net, cfg.get(settings.PLATFORM), cfg.get(settings.PLATFORM_TIMEOUT)
        ),
        targets=target_client.make(net, cfg.get(settings.TARGET_TIMEOUT)),
        rng=random.SystemRandom(),
        net=net,
        transport=zmq_transport.make(cfg.get(settings.PEERS), _parse_peer_keys(cfg)),
    )
    await serve(view, _wait_signal)


async def serve(view: views.View, wait_stop: abc.Callable[[], abc.Awaitable[None]]) -> None:
    """Serve until ``wait_stop`` returns, then finish the requests in flight."""
    cfg = view.cfg
    events.log("entry.start", callers=str(cfg.get(settings.CALLERS)))
    async with trio.open_nursery() as nursery:
        for task in _TASKS:
            nursery.start_soon(task, view)
        await nursery.start(
            view.net.listen, cfg.get(settings.OPERATORS), operators.make_handler(view)
        )
        await nursery.start(
            view.net.listen, cfg.get(settings.CALLERS), caller_handler.make_handler(view)
        )
        async with trio.open_nursery() as registered_nursery:
            registered_nursery.start_soon(lease_task.run, view)
            registered_nursery.start_soon(registration_task.run, view)
            await wait_stop()
            events.log("entry.leaving")
            view.is_leaving.publish(True)
        await _wait_idle(view)
        events.log("entry.stop")
        nursery.cancel_scope.cancel()


STOP_REFUSAL_SECONDS = 2.0

_TASKS = (
    configuration_task.run,
    instances_task.run,
    tables_task.run,
    reports_task.run,
    routing_task.run,
    control_task.run,
    records_task.run,
    meter_task.run,
    peer_task.run,
)


def _parse_peer_keys(cfg: settings.Settings) -> list[curve_key.CurveKey]:
    return [curve_key.parse(secret) for secret in cfg.get(settings.PEER_KEYS).split()]


async def _wait_signal() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            return


async def _wait_idle(view: views.View) -> None:
    with trio.move_on_after(view.cfg.get(settings.DRAIN_DEADLINE)):
        # Requests that are still on the network get a refusal instead of a failed connection.
        await trio.sleep(STOP_REFUSAL_SECONDS)
        while view.active_requests.value > 0:
            await view.active_requests.wait_change()
    if view.active_requests.value > 0:
        events.log("entry.cut", active=view.active_requests.value)
