"""Keeps the list of targets known."""

from __future__ import annotations

import expression
import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.fleet import target, target_registry
from galenavane.gateway import boot_clock, object_store, peer_message, peer_updates
from galenavane.gateway import state as states
from galenavane.observe import events

WATCH_SECONDS = 2.0
"""Bounds how long a connection that went silent stays unnoticed."""
BATCH_DELAY_SECONDS = 0.015
"""Changes of several members come together; one watch then returns them all."""
RETRY_SECONDS = 0.15
EXPIRY_INTERVAL_SECONDS = 0.1


async def run(gw: states.Gateway) -> None:
    """List targets, then watch them."""
    revision = 0
    answered_at = trio.current_time()
    while True:
        if gw.registry.revision > 0 and not peer_updates.is_watcher(gw, boot_clock.now()):
            revision = gw.registry.revision
            answered_at = trio.current_time()
            await trio.sleep(RETRY_SECONDS)
            continue
        if revision == 0:
            found = await _list_targets(gw, answered_at)
        else:
            found = await _watch_targets(gw, revision, answered_at)
        if found.is_ok():
            answered_at = trio.current_time()
            revision = found.ok
            await trio.sleep(BATCH_DELAY_SECONDS)
            continue
        if found.error.code in (codes.Code.HISTORY_GONE, codes.Code.OBJECT_DAMAGED):
            events.log("targets.relist", code=found.error.code.name)
            revision = 0
        await trio.sleep(RETRY_SECONDS * (0.5 + gw.rng.random()))


async def _list_targets(
    gw: states.Gateway, answered_at: float
) -> expression.Result[int, failure.Failure]:
    found = await gw.store.list_targets()
    if found.is_error():
        return expression.Error(found.error)
    now = trio.current_time()
    target_registry.record_store_recovery(gw.registry, now - answered_at, now)
    _log_gone(target_registry.replace_all(gw.registry, found.ok.targets, found.ok.revision, now))
    gw.wake_control()
    return expression.Ok(found.ok.revision)


async def _watch_targets(
    gw: states.Gateway, revision: int, answered_at: float
) -> expression.Result[int, failure.Failure]:
    found = await gw.store.watch_targets(revision, WATCH_SECONDS)
    if found.is_error():
        return expression.Error(found.error)
    now = trio.current_time()
    silent = now - answered_at - WATCH_SECONDS
    target_registry.record_store_recovery(gw.registry, silent, now)
    gone = [change.id for change in found.ok.changes if _apply_change(gw, change, now)]
    if found.ok.changes:
        known = gw.registry.revision
        gw.registry.revision = max(known, found.ok.revision)
        gw.wake_control()
        changed = [one.target for one in found.ok.changes if one.target is not None]
        _send_delta(gw, known, found.ok.revision, changed, gone)
    return expression.Ok(found.ok.revision)


def _send_delta(
    gw: states.Gateway,
    from_revision: int,
    to_revision: int,
    changed: list[target.Target],
    gone: list[str],
) -> None:
    delta = peer_message.TargetDelta(gw.name, from_revision, to_revision, changed, gone)
    peer_updates.send_delta(gw, delta)


def _apply_change(gw: states.Gateway, change: object_store.TargetChange, now: float) -> bool:
    """Take in a change; return whether its target counts as gone."""
    if change.target is None:
        is_gone = target_registry.remove(gw.registry, change.id, now)
        if is_gone:
            _log_gone([change.id])
        return is_gone
    known = gw.registry.targets.get(change.id)
    if known is None or known.is_leaving != change.target.is_leaving:
        events.log("target.seen", target=change.id, leaving=change.target.is_leaving)
    target_registry.put(gw.registry, change.target)
    return False


def _log_gone(ids: list[str]) -> None:
    for one in ids:
        events.log("target.gone", target=one)


async def run_expiry(gw: states.Gateway) -> None:
    """Drop targets whose entries did not come back after an outage."""
    while True:
        await trio.sleep(EXPIRY_INTERVAL_SECONDS)
        gone = target_registry.expire(gw.registry, trio.current_time())
        if gone:
            _log_gone(gone)
            _send_delta(gw, gw.registry.revision, gw.registry.revision, [], gone)
            gw.wake_control()
