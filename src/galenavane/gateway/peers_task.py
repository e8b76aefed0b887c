"""Talks to the other entries."""

from __future__ import annotations

import msgspec
import trio

from galenavane.fleet import replica_group, target_registry
from galenavane.gateway import (
    boot_clock,
    config_task,
    heads_task,
    lease,
    peer_message,
    peers,
    settings,
)
from galenavane.gateway import peer_updates as telling
from galenavane.gateway import state as states
from galenavane.observe import events

ENTRIES_KIND = "galenavane-entries"
HEARTBEAT_INTERVAL_SECONDS = 0.12
"""A head gets about one request in this time, so its load is known to about one request."""
HEARTBEAT_PEER_SECONDS = 0.002
"""Added for each entry that this one talks to; a message costs some 0.1 ms of processor time."""
LIST_INTERVAL_SECONDS = 3.0
FIRST_LIST_INTERVAL_SECONDS = 0.5
MAX_AGE_SECONDS = 1e6


class ListedEntry(msgspec.Struct, frozen=True):
    """Where an entry hears the others."""

    address: str
    data_centre: str
    bandwidth: float


def own_address(gw: states.Gateway) -> str:
    """Return where this entry hears the others."""
    return f"{gw.cfg.get(settings.HOST)}:{gw.cfg.get(settings.PEER_PORT)}"


async def run_listing(gw: states.Gateway) -> None:
    """Make this entry known, and learn of the others."""
    is_listed = False
    while True:
        if not is_listed:
            is_listed = await _register_own(gw)
        found = await gw.store.list_objects(ENTRIES_KIND)
        if found.is_ok():
            for one in found.ok:
                _add_peer(gw, one.name, one.value)
        wait = LIST_INTERVAL_SECONDS if is_listed and gw.peers else FIRST_LIST_INTERVAL_SECONDS
        await trio.sleep(wait * (0.8 + 0.4 * gw.rng.random()))


async def _register_own(gw: states.Gateway) -> bool:
    value = ListedEntry(own_address(gw), gw.data_centre, gw.cfg.get(settings.BANDWIDTH))
    made = await gw.store.create(ENTRIES_KIND, gw.name, value)
    if made.is_ok():
        return True
    return (await gw.store.replace(ENTRIES_KIND, gw.name, value, None)).is_ok()


def _add_peer(gw: states.Gateway, name: str, value: bytes) -> None:
    if name == gw.name:
        return
    try:
        found = msgspec.json.decode(value, type=ListedEntry)
    except msgspec.DecodeError as exc:
        events.log("peer.damaged", peer=name, text=str(exc))
        return
    now = boot_clock.now()
    known = gw.peers.get(name)
    is_silent = known is None or not peers.is_alive(known, now)
    if known is None or (is_silent and known.address != found.address):
        gw.peers[name] = peers.Peer(name, found.address, found.data_centre, found.bandwidth, now)


async def run_heartbeats(gw: states.Gateway) -> None:
    """Tell relays, and those that this entry relays for, what it knows and has under way."""
    while True:
        now = boot_clock.now()
        asked = telling.choose_upstream_relays(gw, now)
        told = {one.name for one in peers.find_subscribers(gw.peers, now)}
        local = peers.sum_local_loads(gw.peers, gw.data_centre, count_own_loads(gw), now)
        total = peers.sum_all_loads(gw.peers, gw.data_centre, local, now)
        for name in asked | told:
            peer = gw.peers[name]
            if name in asked:
                peers.note_sent(peer, now)
            pulse = _make_heartbeat(gw, peer, name in asked, local, total, now)
            gw.transport.send(peer.address, peer_message.encode(pulse))
        gw.reported_loads = count_own_loads(gw)
        _request_sync_if_behind(gw, now)
        await trio.sleep(HEARTBEAT_INTERVAL_SECONDS + HEARTBEAT_PEER_SECONDS * len(asked | told))


def count_own_loads(gw: states.Gateway) -> dict[str, int]:
    """Return the requests of this entry by head."""
    return {head: len(one.reads) for head, one in gw.heads.items() if one.reads}


def _make_heartbeat(
    gw: states.Gateway,
    to: peers.Peer,
    is_asked: bool,
    local: dict[str, int],
    total: dict[str, int],
    now: float,
) -> peer_message.Heartbeat:
    word = gw.config_state
    is_near = to.data_centre == gw.data_centre
    return peer_message.Heartbeat(
        sender=gw.name,
        data_centre=gw.data_centre,
        address=own_address(gw),
        bandwidth=gw.cfg.get(settings.BANDWIDTH),
        incarnation=gw.incarnation,
        wants_relay=is_asked,
        sent_at=now,
        echoed_at=to.heartbeat.sent_at if to.heartbeat is not None else 0.0,
        version=word.version,
        confirmed_age=min(now - word.confirmed_at, MAX_AGE_SECONDS),
        store_age=min(now - word.store_answered_at, MAX_AGE_SECONDS),
        revision=gw.registry.revision,
        token=gw.holder_report.token,
        token_age=min(now - gw.holder_report.seen_at, MAX_AGE_SECONDS),
        is_stopping=gw.is_stopping,
        loads=_make_head_loads(count_own_loads(gw)),
        local_loads=[] if is_near else _make_head_loads(local),
        all_loads=_make_head_loads(total) if is_near else [],
    )


def _make_head_loads(loads: dict[str, int]) -> list[peer_message.HeadLoad]:
    return [peer_message.HeadLoad(head, in_flight) for head, in_flight in loads.items()]


def _request_sync_if_behind(gw: states.Gateway, now: float) -> None:
    """Ask an entry that is ahead, unless the store tells this one itself."""
    ahead = [
        one
        for one in gw.peers.values()
        if one.heartbeat is not None and peers.is_alive(one, now) and _is_ahead(gw, one.heartbeat)
    ]
    if not ahead:
        gw.behind_since = now
        return
    if now - gw.behind_since < BEHIND_GRACE_SECONDS:
        return
    best = max(ahead, key=lambda one: one.heartbeat.revision if one.heartbeat else 0)
    ask = peer_message.SyncRequest(
        gw.name, own_address(gw), gw.config_state.version, gw.registry.revision
    )
    gw.transport.send(best.address, peer_message.encode(ask))
    gw.behind_since = now + SYNC_INTERVAL_SECONDS


SYNC_INTERVAL_SECONDS = 1.0
"""A whole list is large; it is asked for again only when it surely was lost."""
BEHIND_GRACE_SECONDS = 0.3
"""Changes are told as they come; one that did not come by then was lost."""


def _is_ahead(gw: states.Gateway, pulse: peer_message.Heartbeat) -> bool:
    return pulse.version > gw.config_state.version or pulse.revision > gw.registry.revision


async def run_receiving(gw: states.Gateway) -> None:
    """Take in what the others tell."""
    while True:
        found = peer_message.decode(await gw.transport.receive())
        if found is None:
            events.log("peer.damaged")
            continue
        _handle(gw, found)


def _handle(gw: states.Gateway, found: peer_message.Message) -> None:
    match found:
        case peer_message.Heartbeat():
            _handle_heartbeat(gw, found, boot_clock.now())
        case peer_message.SyncRequest():
            _answer_sync(gw, found)
        case peer_message.ConfigUpdate():
            # Without an echo nothing is known of its age, so it confirms nothing by itself.
            if config_task.apply_config(gw, found.raw, float("-inf"), found.sender):
                telling.send_config(gw)
        case peer_message.TargetSnapshot():
            _apply_snapshot(gw, found)
        case peer_message.TargetDelta():
            _apply_delta(gw, found)
        case peer_message.StallReport():
            _handle_stall(gw, found)


def _handle_heartbeat(gw: states.Gateway, found: peer_message.Heartbeat, now: float) -> None:
    known = gw.peers.get(found.sender)
    if known is None or now - known.last_message_at > peers.PEER_TIMEOUT_SECONDS:
        events.log("peer.met", peer=found.sender)
    peers.handle_heartbeat(gw.peers, found, gw.config_state, now)
    lease.record_holder_report(gw.holder_report, found.token, now - found.token_age)


def _apply_snapshot(gw: states.Gateway, found: peer_message.TargetSnapshot) -> None:
    gone = target_registry.replace_all(
        gw.registry, found.targets, found.revision, trio.current_time()
    )
    for one in gone:
        events.log("target.gone", target=one, source=found.sender)
    gw.wake_control()


def _apply_delta(gw: states.Gateway, found: peer_message.TargetDelta) -> None:
    """Take in changes that follow on what is known; a gap is asked for later."""
    known = gw.registry.revision
    is_old = found.to_revision < known or (found.to_revision == known and not found.gone)
    if known == 0 or found.from_revision > known or is_old:
        return
    now = trio.current_time()
    for one in found.changed:
        target_registry.put(gw.registry, one)
    for name in found.gone:
        if target_registry.remove(gw.registry, name, now):
            events.log("target.gone", target=name, source=found.sender)
    gw.registry.revision = found.to_revision
    gw.wake_control()


def _handle_stall(gw: states.Gateway, found: peer_message.StallReport) -> None:
    key = replica_group.Key(found.group, found.epoch)
    is_news = gw.record_stall(key)
    gw.pending_stalls.append((found.service, key, tuple(found.missing)))
    gw.wake_control()
    if found.missing:
        heads_task.handle_stall_report(gw, found.head, key)
    if is_news:
        telling.send_stall(gw, found)


def _answer_sync(gw: states.Gateway, found: peer_message.SyncRequest) -> None:
    word = gw.config_state
    if word.version > found.version:
        reply = peer_message.ConfigUpdate(gw.name, word.raw)
        gw.transport.send(found.address, peer_message.encode(reply))
    if gw.registry.revision > found.revision:
        listed = list(gw.registry.targets.values())
        targets = peer_message.TargetSnapshot(gw.name, gw.registry.revision, listed)
        gw.transport.send(found.address, peer_message.encode(targets))


async def run_peer_expiry(gw: states.Gateway) -> None:
    """Drop entries that are gone for long."""
    while True:
        await trio.sleep(peers.PEER_TIMEOUT_SECONDS)
        now = boot_clock.now()
        for name in peers.drop_expired(gw.peers, now):
            events.log("peer.forgotten", peer=name)
            if gw.controller_state is not None:
                await gw.store.delete(ENTRIES_KIND, name)
