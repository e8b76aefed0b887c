"""Runs one entry process: starts its tasks and shuts them down gracefully."""

from __future__ import annotations

import collections
import signal
from collections import abc

import trio

from galenavane.gateway import (
    boot_clock,
    config_task,
    control_task,
    frontend,
    gateway_metrics,
    heads_task,
    lease_task,
    part_news,
    peers_task,
    permits,
    settings,
    targets_task,
)
from galenavane.gateway import state as states
from galenavane.net import connections, http_server, message
from galenavane.observe import events, log_sink, trace_text
from galenavane.route import target_permit

FLUSH_INTERVAL_SECONDS = 0.2
BALANCER_DELAY_SECONDS = 2.6
"""The load balancer checks readiness once a second and removes an entry after two failed checks."""
STOP_MARGIN_SECONDS = 0.4
"""Reserved before the process is killed, for sending the last answers."""
LAST_ANSWERS_SECONDS = 0.2
"""For the last errors and refusals."""
DRAIN_CHECK_SECONDS = 0.05
METRICS_PATH = "/metrics"
MAX_BODY_BYTES = 8_388_608
IDLE_TIMEOUT_SECONDS = 60.0
READ_TIMEOUT_SECONDS = 20.0
RESTART_DELAY_SECONDS = 0.3
"""Delay before a failed task runs again, as it may fail at once."""

Task = abc.Callable[[states.Gateway], abc.Awaitable[None]]

_TASKS = (
    config_task.run,
    targets_task.run,
    targets_task.run_expiry,
    peers_task.run_listing,
    peers_task.run_heartbeats,
    peers_task.run_receiving,
    part_news.run,
    peers_task.run_peer_expiry,
    control_task.run,
    heads_task.run,
)


async def run(gw: states.Gateway, sink: log_sink.LogSink) -> None:
    """Serve until SIGTERM or SIGINT, then finish the requests in flight."""
    try:
        await _serve(gw, sink)
    finally:
        gw.transport.close()


async def _serve(gw: states.Gateway, sink: log_sink.LogSink) -> None:
    cfg = gw.cfg
    events.log("entry.start", callers=str(cfg.get(settings.CALLERS)))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_flush, gw, sink)
        nursery.start_soon(_log_reloads)
        for task in (*_TASKS, lease_task.run):
            nursery.start_soon(_supervise, task, gw)
        await nursery.start(gw.net.listen, cfg.get(settings.READINESS), _make_readiness_handler(gw))
        limits = http_server.Limits(
            MAX_BODY_BYTES, IDLE_TIMEOUT_SECONDS, READ_TIMEOUT_SECONDS, budget=gw.request_budget
        )
        conns = connections.Connections()
        handler = frontend.make_handler(gw, conns)
        await nursery.start(gw.net.listen, cfg.get(settings.CALLERS), handler, limits, conns)
        # Received to the end: the default action of a second signal would end the process at once.
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            await anext(received)
            nursery.start_soon(_log_further_signals, received)
            await _drain(gw, conns)
            events.log("entry.stop", active=gw.active_requests, reading=conns.reading)
            sink.flush()
            nursery.cancel_scope.cancel()


async def _supervise(task: Task, gw: states.Gateway) -> None:
    """Run a task, and restart it after an unexpected error while requests are still served."""
    while True:
        try:
            await task(gw)
            return
        except Exception as exc:
            events.log("task.defect", task=task.__module__, text=trace_text.make(exc))
        await trio.sleep(RESTART_DELAY_SECONDS)


async def _log_further_signals(received: abc.AsyncIterator[int]) -> None:
    async for number in received:
        events.log("entry.signal", number=number, text="this entry is stopping already")


async def _log_reloads() -> None:
    """Log SIGHUP: the settings of a running entry change only by a restart."""
    with trio.open_signal_receiver(signal.SIGHUP) as received:
        async for _ in received:
            events.log("entry.reload", text="settings are read at the next start")


async def _drain(gw: states.Gateway, conns: connections.Connections) -> None:
    """Wait until the load balancer sends no more requests, then for the requests in flight.

    Those that are still being read then are refused, those that are still served are answered with
    an error, and idle connections are closed.
    """
    grace = gw.cfg.get(settings.GRACE)
    stop_at = trio.current_time() + grace - STOP_MARGIN_SECONDS
    events.log("entry.leaving", active=gw.active_requests, reading=conns.reading)
    gw.is_stopping = True
    gw.wake_control()
    await trio.sleep(min(BALANCER_DELAY_SECONDS, grace / 2))
    gw.ends_at = stop_at
    gw.is_closing = True
    quiet_at = trio.current_time() + 1.0
    while trio.current_time() < stop_at:
        is_quiet = gw.active_requests == 0 and conns.reading == 0
        if is_quiet and trio.current_time() >= quiet_at:
            break
        await trio.sleep(DRAIN_CHECK_SECONDS)
    conns.close()
    conns.end_serving()
    with trio.move_on_after(LAST_ANSWERS_SECONDS):
        while conns.waiting or gw.active_requests:
            await trio.sleep(http_server.LAST_RECEIVE_SECONDS)


async def _run_flush(gw: states.Gateway, sink: log_sink.LogSink) -> None:
    dropped = 0
    while True:
        sink.flush()
        if sink.dropped > dropped:
            events.log("log.dropped", lines=sink.dropped - dropped)
            dropped = sink.dropped
        gw.metrics.dropped_lines.set({}, sink.dropped)
        await trio.sleep(FLUSH_INTERVAL_SECONDS)


def _make_readiness_handler(gw: states.Gateway) -> http_server.Handler:
    async def handle(exchange: http_server.Exchange) -> None:
        if exchange.request.path == METRICS_PATH:
            await exchange.respond(_render_metrics(gw))
            return
        is_ready = _is_ready(gw)
        await exchange.respond(message.Response(200 if is_ready else 503))

    return handle


def _is_ready(gw: states.Gateway) -> bool:
    """Whether this entry can serve clients' requests."""
    return not gw.is_stopping and gw.may_use_keys() and bool(gw.registry.targets)


def _render_metrics(gw: states.Gateway) -> message.Response:
    metrics = gw.metrics
    age = boot_clock.now() - gw.config_state.confirmed_at
    metrics.in_flight.set({}, gw.active_requests)
    metrics.config_age.set({}, min(age, 1e6))
    metrics.store_calls.set({}, gw.store.calls)
    metrics.peers.set({}, gw.count_entries() - 1)
    metrics.targets.set({}, len(gw.registry.targets))
    avoided = collections.Counter(
        permits.check(gw, listed).reason for listed in gw.registry.targets.values()
    )
    for reason in target_permit.Reason:
        metrics.targets_avoided.set({"reason": reason.value}, avoided[reason])
    metrics.lease_token.set({}, gw.control.token if gw.control is not None else 0)
    response = message.Response(200, body=gateway_metrics.render(metrics))
    response.headers.add("content-type", "text/plain; version=0.0.4")
    return response
