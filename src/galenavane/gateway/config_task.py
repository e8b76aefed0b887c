"""Keeps the entry's copy of the configuration up to date."""

from __future__ import annotations

import msgspec
import trio

from galenavane.failure import code as codes
from galenavane.gateway import boot_clock, config_state, object_store, peer_updates
from galenavane.gateway import state as states
from galenavane.observe import events

WATCH_SECONDS = 0.5
"""Longest wait of one watch; a watch without changes confirms that the configuration is current."""


async def run(gw: states.Gateway) -> None:
    """Read the configuration, then watch it, unless a relay sends it to this entry."""
    revision = 0
    is_store_available = True
    while True:
        if gw.config_state.catalog is not None and not peer_updates.is_watcher(
            gw, boot_clock.now()
        ):
            revision = 0
            is_store_available = True
            await trio.sleep(peer_updates.RELAY_CHECK_SECONDS)
            continue
        sent_at = boot_clock.now()
        if revision == 0:
            stored = await gw.store.read_config()
            changes = stored.map(lambda obj: object_store.ObjectChanges(obj.revision, [obj]))
        else:
            changes = await gw.store.watch_config(revision, WATCH_SECONDS)
        if changes.is_ok():
            if not is_store_available:
                events.log(
                    "store.regained", age=round(sent_at - gw.config_state.store_answered_at, 3)
                )
            is_store_available = True
            revision = _apply_changes(gw, changes.ok, sent_at)
            continue
        if is_store_available and changes.error.code is not codes.Code.HISTORY_GONE:
            events.log("store.lost", code=changes.error.code.name, text=changes.error.message)
            is_store_available = False
        # Once the store is back, a read returns at once, but a watch only when its wait ends.
        revision = 0
        await trio.sleep(peer_updates.choose_retry_seconds(gw) * (0.5 + gw.rng.random()))


def _apply_changes(gw: states.Gateway, changes: object_store.ObjectChanges, sent_at: float) -> int:
    config_state.record_store_answer(gw.config_state, boot_clock.now())
    for obj in changes.objects:
        if obj.name == "main" and apply_config(gw, obj.value, sent_at, "store"):
            peer_updates.send_config(gw)
    config_state.confirm(gw.config_state, sent_at)
    return changes.revision


def apply_config(gw: states.Gateway, raw: bytes, as_of: float, source: str) -> bool:
    """Decode a configuration and use it if it is newer than the known one.

    :param as_of: ``boot_clock`` time in seconds at which it was in force.
    :param source: where it came from, for the log.
    :returns: whether it is newer.
    """
    try:
        catalog = gw.codec.decode_config(raw)
    except (msgspec.DecodeError, ValueError) as exc:
        events.log("config.damaged", source=source, text=str(exc))
        return False
    is_newer = config_state.update(gw.config_state, catalog, raw, as_of)
    if is_newer:
        events.log("config.in_force", version=catalog.version, source=source)
        gw.wake_control()
    return is_newer
