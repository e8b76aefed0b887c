"""Keeps the entry's list of targets up to date."""

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
"""Bounds how long a dead connection stays unnoticed."""
BATCH_DELAY_SECONDS = 0.015
"""Several members change at about the same time; after this delay, one watch returns them all."""
EXPIRY_INTERVAL_SECONDS = 0.1
IDLE_EXPIRY_INTERVAL_SECONDS = 0.5
"""Interval while no target's record has lapsed; a lapsed one counts for two seconds or more."""


async def run(gw: states.Gateway) -> None:
    """List the targets, then watch them, unless a relay sends their changes to this entry."""
    revision = 0
    answered_at = trio.current_time()
    while True:
        if gw.registry.revision > 0 and not peer_updates.is_watcher(gw, boot_clock.now()):
            revision = gw.registry.revision
            answered_at = trio.current_time()
            await trio.sleep(peer_updates.RELAY_CHECK_SECONDS)
            continue
        if revision == 0:
            result = await _list_targets(gw, answered_at)
        else:
            result = await watch_targets(gw, revision, answered_at)
        if result.is_ok():
            answered_at = trio.current_time()
            revision = result.ok
            await trio.sleep(BATCH_DELAY_SECONDS)
            continue
        if result.error.code in (codes.Code.HISTORY_GONE, codes.Code.OBJECT_DAMAGED):
            events.log("targets.relist", code=result.error.code.name)
            revision = 0
        await trio.sleep(peer_updates.choose_retry_seconds(gw) * (0.5 + gw.rng.random()))


async def _list_targets(
    gw: states.Gateway, answered_at: float
) -> expression.Result[int, failure.Failure]:
    listing = await gw.store.list_targets()
    if listing.is_error():
        return expression.Error(listing.error)
    now = trio.current_time()
    target_registry.record_store_recovery(gw.registry, now - answered_at, now)
    _log_gone(
        target_registry.replace_all(gw.registry, listing.ok.targets, listing.ok.revision, now)
    )
    gw.wake_control()
    return expression.Ok(listing.ok.revision)


async def watch_targets(
    gw: states.Gateway, revision: int, answered_at: float
) -> expression.Result[int, failure.Failure]:
    """Apply the changes after a revision; return the revision to watch from next."""
    result = await gw.store.watch_targets(revision, WATCH_SECONDS)
    if result.is_error():
        return expression.Error(result.error)
    now = trio.current_time()
    silent_seconds = now - answered_at - WATCH_SECONDS
    target_registry.record_store_recovery(gw.registry, silent_seconds, now)
    if result.ok.changes and result.ok.revision <= gw.registry.revision:
        # A relay has sent these changes and later ones meanwhile.
        return expression.Ok(gw.registry.revision)
    gone_ids = [change.id for change in result.ok.changes if _apply_change(gw, change, now)]
    if result.ok.changes:
        known_revision = gw.registry.revision
        gw.registry.revision = max(known_revision, result.ok.revision)
        gw.wake_control()
        changed = [
            gw.registry.targets.get(change.id, change.target)
            for change in result.ok.changes
            if change.target is not None
        ]
        _send_delta(gw, known_revision, result.ok.revision, changed, gone_ids)
    return expression.Ok(result.ok.revision)


def _send_delta(
    gw: states.Gateway,
    from_revision: int,
    to_revision: int,
    changed: list[target.Target],
    gone_ids: list[str],
) -> None:
    delta = peer_message.TargetDelta(gw.name, from_revision, to_revision, changed, gone_ids)
    peer_updates.send_delta(gw, delta)


def _apply_change(gw: states.Gateway, change: object_store.TargetChange, now: float) -> bool:
    """Apply a change, and return whether its target counts as gone."""
    if change.target is None:
        is_gone = target_registry.remove(gw.registry, change.id, now)
        if is_gone:
            _log_gone([change.id])
        return is_gone
    known_target = gw.registry.targets.get(change.id)
    if known_target is None or known_target.is_leaving != change.target.is_leaving:
        events.log("target.seen", target=change.id, leaving=change.target.is_leaving)
    target_registry.put(gw.registry, change.target)
    return False


def _log_gone(target_ids: list[str]) -> None:
    for target_id in target_ids:
        events.log("target.gone", target=target_id)


async def run_expiry(gw: states.Gateway) -> None:
    """Drop targets that were not listed again after an outage of the store."""
    while True:
        has_lapsed = gw.registry.presumed_alive_until or gw.registry.unlisted
        await trio.sleep(EXPIRY_INTERVAL_SECONDS if has_lapsed else IDLE_EXPIRY_INTERVAL_SECONDS)
        gone_ids = target_registry.expire(gw.registry, trio.current_time())
        if gone_ids:
            _log_gone(gone_ids)
            _send_delta(gw, gw.registry.revision, gw.registry.revision, [], gone_ids)
            gw.wake_control()
