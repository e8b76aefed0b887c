"""Exchanges heartbeats, updates and stall reports with the other entries."""

from __future__ import annotations

import dataclasses

import msgspec
import trio

from galenavane.fleet import replica_group, target_registry
from galenavane.gateway import (
    boot_clock,
    config_task,
    heads_task,
    lease,
    peer_message,
    peer_updates,
    peers,
    permits,
    prompt_blocks,
    settings,
)
from galenavane.gateway import state as states
from galenavane.net import untrusted_json
from galenavane.observe import events

ENTRIES_KIND = "galenavane-entries"
HEARTBEAT_INTERVAL_SECONDS = 0.12
"""A head gets about one request in this time, so its load is known to within about one request."""
HEARTBEAT_PEER_SECONDS = 0.002
"""Added to the interval for each receiver, and for each entry of the data centre, all of which send
to its first relay; a message costs about 0.1 ms of processor time at each end."""
LIST_INTERVAL_SECONDS = 3.0
LIST_ENTRY_SECONDS = 0.1
"""Added to the interval for each known entry and each call that a list takes, so that all entries
together make ten calls a second at most."""
GROWING_SHARE = 0.1
"""A list with this share of new entries is read again soon, as others may be registering too."""
FIRST_LIST_INTERVAL_SECONDS = 0.5
STALE_LISTING_SECONDS = 10.0
"""A listing may be seconds old, so it may lack an entry that registered within this time."""
MAX_AGE_SECONDS = 1e6


class ListedEntry(msgspec.Struct, frozen=True):
    """An entry as listed in the store, with the address for messages from other entries."""

    address: str
    data_centre: str
    bandwidth: float


def own_address(gw: states.Gateway) -> str:
    """Return this entry's address for messages from other entries."""
    return f"{gw.cfg.get(settings.HOST)}:{gw.cfg.get(settings.PEER_PORT)}"


async def run_listing(gw: states.Gateway) -> None:
    """List this entry in the store, and read the addresses of the others."""
    is_listed = False
    registered_at = float("-inf")
    while True:
        if not is_listed:
            is_listed = await _register_own(gw)
            registered_at = boot_clock.now()
        known = len(gw.peers)
        listing = await _read_listing(gw)
        if listing.is_complete:
            is_stale = boot_clock.now() - registered_at < STALE_LISTING_SECONDS
            is_listed = is_listed and (gw.name in listing.names or is_stale)
        delay_seconds = FIRST_LIST_INTERVAL_SECONDS
        if is_listed and gw.peers:
            is_growing = len(gw.peers) - known > GROWING_SHARE * known
            delay_seconds = LIST_INTERVAL_SECONDS
            if not is_growing or not listing.is_complete:
                delay_seconds += LIST_ENTRY_SECONDS * len(gw.peers) * listing.calls
            gw.listing_seconds = delay_seconds
        await trio.sleep(delay_seconds * (0.8 + 0.4 * gw.rng.random()))


@dataclasses.dataclass(slots=True)
class _Listing:
    """The entries as listed in the store, whose list is answered in pages.

    :ivar calls: number of calls that it took.
    :ivar is_complete: whether all pages could be read.
    """

    names: set[str] = dataclasses.field(default_factory=set)
    calls: int = 0
    is_complete: bool = False


async def _read_listing(gw: states.Gateway) -> _Listing:
    """Read the addresses of all entries; those of the pages that can't be read stay as known."""
    listing = _Listing()
    after = ""
    while True:
        page = await gw.store.list_objects(ENTRIES_KIND, after)
        listing.calls += 1
        if page.is_error():
            return listing
        for stored in page.ok.objects:
            _add_peer(gw, stored.name, stored.value)
            listing.names.add(stored.name)
        if page.ok.next_after <= after:
            listing.is_complete = not page.ok.next_after
            return listing
        after = page.ok.next_after


async def _register_own(gw: states.Gateway) -> bool:
    value = ListedEntry(own_address(gw), gw.data_centre, gw.cfg.get(settings.BANDWIDTH))
    created = await gw.store.create(ENTRIES_KIND, gw.name, value)
    if created.is_ok():
        return True
    return (await gw.store.replace(ENTRIES_KIND, gw.name, value, None)).is_ok()


def _add_peer(gw: states.Gateway, name: str, value: bytes) -> None:
    if name == gw.name:
        return
    try:
        entry = untrusted_json.decode(value, ListedEntry)
    except msgspec.DecodeError as exc:
        events.log("peer.damaged", peer=name, text=str(exc))
        return
    now = boot_clock.now()
    peer = gw.peers.get(name)
    is_down = peer is None or not peers.is_alive(peer, now)
    if peer is None or (is_down and peer.address != entry.address):
        gw.peers[name] = peers.make_peer(
            name, entry.address, entry.data_centre, entry.bandwidth, now
        )
    else:
        peer.last_known_at = now


async def run_heartbeats(gw: states.Gateway) -> None:
    """Send heartbeats to this entry's relays and subscribers."""
    while True:
        now = boot_clock.now()
        local_relays = gw.choose_own_relays(now)
        relay_names = peer_updates.choose_upstream_relays(gw, now)
        subscriber_names = {subscriber.name for subscriber in peers.find_subscribers(gw.peers, now)}
        local_loads: dict[str, int] = {}
        all_loads: dict[str, int] = {}
        if subscriber_names:
            local_loads = peers.sum_local_loads(gw.peers, gw.data_centre, count_own_loads(gw), now)
            all_loads = peers.sum_all_loads(gw.peers, gw.data_centre, local_loads, now)
        for name in relay_names | subscriber_names:
            peer = gw.peers[name]
            if not peers.is_heartbeat_due(peer, gw.name, gw.data_centre, local_relays, now):
                continue
            peer.heartbeat_sent_at = now
            if name in relay_names:
                peers.note_sent(peer, now)
            heartbeat = _make_heartbeat(gw, peer, name in relay_names, local_loads, all_loads, now)
            gw.transport.send(peer.address, peer_message.encode(heartbeat))
        gw.reported_loads = count_own_loads(gw)
        _request_sync_if_behind(gw, now)
        prompt_blocks.share(gw)
        near = sum(peer.data_centre == gw.data_centre for peer in gw.peers.values())
        receivers = len(relay_names | subscriber_names)
        await trio.sleep(HEARTBEAT_INTERVAL_SECONDS + HEARTBEAT_PEER_SECONDS * max(near, receivers))


def count_own_loads(gw: states.Gateway) -> dict[str, int]:
    """Return the number of this entry's requests by head."""
    return {
        head_id: len(head_requests.attempts)
        for head_id, head_requests in gw.heads.items()
        if head_requests.attempts
    }


def _make_heartbeat(
    gw: states.Gateway,
    peer: peers.Peer,
    is_upstream: bool,
    local_loads: dict[str, int],
    all_loads: dict[str, int],
    now: float,
) -> peer_message.Heartbeat:
    known_config = gw.config_state
    is_near = peer.data_centre == gw.data_centre
    return peer_message.Heartbeat(
        sender=gw.name,
        data_centre=gw.data_centre,
        address=own_address(gw),
        bandwidth=gw.cfg.get(settings.BANDWIDTH),
        incarnation=gw.incarnation,
        wants_relay=is_upstream,
        sent_at=now,
        echoed_at=peer.heartbeat.sent_at if peer.heartbeat is not None else 0.0,
        version=known_config.version,
        confirmed_age=min(now - known_config.confirmed_at, MAX_AGE_SECONDS),
        store_age=min(now - known_config.store_answered_at, MAX_AGE_SECONDS),
        revision=gw.registry.revision,
        token=gw.holder_report.token,
        token_age=min(now - gw.holder_report.seen_at, MAX_AGE_SECONDS),
        is_stopping=gw.is_stopping,
        loads=_make_head_loads(count_own_loads(gw)),
        local_loads=[] if is_near else _make_head_loads(local_loads),
        all_loads=_make_head_loads(all_loads) if is_near else [],
        own_store_age=min(now - known_config.own_answered_at, MAX_AGE_SECONDS),
    )


def _make_head_loads(loads: dict[str, int]) -> list[peer_message.HeadLoad]:
    return [peer_message.HeadLoad(head_id, in_flight) for head_id, in_flight in loads.items()]


def _request_sync_if_behind(gw: states.Gateway, now: float) -> None:
    """Request what this entry lacks from a peer that is ahead, unless it arrives by itself."""
    ahead = [
        peer
        for peer in gw.peers.values()
        if peer.heartbeat is not None
        and peers.is_alive(peer, now)
        and _is_ahead(gw, peer.heartbeat)
    ]
    if not ahead:
        gw.behind_since = now
        return
    if now - gw.behind_since < BEHIND_GRACE_SECONDS:
        return
    most_recent = max(ahead, key=lambda peer: peer.heartbeat.revision if peer.heartbeat else 0)
    request = peer_message.SyncRequest(
        gw.name, own_address(gw), gw.config_state.version, gw.registry.revision
    )
    gw.transport.send(most_recent.address, peer_message.encode(request))
    gw.behind_since = now + SYNC_INTERVAL_SECONDS


SYNC_INTERVAL_SECONDS = 1.0
"""A complete list is large, so it is requested again only when it was surely lost."""
BEHIND_GRACE_SECONDS = 0.3
"""Changes are sent as they happen, so one that has not arrived by then was lost."""


def _is_ahead(gw: states.Gateway, heartbeat: peer_message.Heartbeat) -> bool:
    return heartbeat.version > gw.config_state.version or heartbeat.revision > gw.registry.revision


async def run_receiving(gw: states.Gateway) -> None:
    """Receive and handle the messages of the other entries."""
    while True:
        message = peer_message.decode(await gw.transport.receive())
        if message is None:
            events.log("peer.damaged")
            continue
        _handle(gw, message)


def _handle(gw: states.Gateway, message: peer_message.Message) -> None:
    match message:
        case peer_message.Heartbeat():
            _handle_heartbeat(gw, message, boot_clock.now())
        case peer_message.SyncRequest():
            _answer_sync(gw, message)
        case peer_message.ConfigUpdate():
            # The message has no echo, so its age is unknown and it doesn't confirm the version.
            if config_task.apply_config(gw, message.raw, float("-inf"), message.sender):
                peer_updates.send_config(gw)
        case peer_message.TargetSnapshot():
            _apply_snapshot(gw, message)
        case peer_message.TargetDelta():
            _apply_delta(gw, message)
        case peer_message.StallReport():
            _handle_stall(gw, message)
        case peer_message.LeavingTarget():
            permits.record_leaving(gw, message.target, message.incarnation)
        case peer_message.SuspectParts():
            prompt_blocks.handle_suspects(gw, message)
        case peer_message.ClearedParts():
            prompt_blocks.handle_cleared(gw, message)


def _handle_heartbeat(gw: states.Gateway, heartbeat: peer_message.Heartbeat, now: float) -> None:
    peer = gw.peers.get(heartbeat.sender)
    if peer is None or now - peer.last_message_at > peers.PEER_TIMEOUT_SECONDS:
        events.log("peer.met", peer=heartbeat.sender)
        prompt_blocks.share_with(gw, heartbeat.address)
    elif peer.heartbeat is not None and peer.heartbeat.incarnation != heartbeat.incarnation:
        prompt_blocks.share_with(gw, heartbeat.address)
    peers.handle_heartbeat(gw.peers, heartbeat, gw.config_state, now)
    lease.record_holder_report(gw.holder_report, heartbeat.token, now - heartbeat.token_age)


def _apply_snapshot(gw: states.Gateway, snapshot: peer_message.TargetSnapshot) -> None:
    gone_ids = target_registry.replace_all(
        gw.registry, snapshot.targets, snapshot.revision, trio.current_time()
    )
    for target_id in gone_ids:
        events.log("target.gone", target=target_id, source=snapshot.sender)
    gw.wake_control()


def _apply_delta(gw: states.Gateway, delta: peer_message.TargetDelta) -> None:
    """Apply changes that follow the known revision; after a gap, a full list is requested later."""
    known_revision = gw.registry.revision
    is_old = delta.to_revision < known_revision or (
        delta.to_revision == known_revision and not delta.gone
    )
    if known_revision == 0 or delta.from_revision > known_revision or is_old:
        return
    now = trio.current_time()
    for changed_target in delta.changed:
        target_registry.put(gw.registry, changed_target)
    for target_id in delta.gone:
        if target_registry.remove(gw.registry, target_id, now):
            events.log("target.gone", target=target_id, source=delta.sender)
    gw.registry.revision = delta.to_revision
    gw.wake_control()
    peer_updates.forward_delta(gw, delta)


def _handle_stall(gw: states.Gateway, report: peer_message.StallReport) -> None:
    key = replica_group.Key(report.group, report.epoch)
    is_new = gw.record_stall(key)
    gw.pending_stalls.append((report.service, key, tuple(report.missing)))
    gw.wake_control()
    if report.missing:
        heads_task.handle_stall_report(gw, report.head, key)
    if is_new:
        peer_updates.send_stall(gw, report)


def _answer_sync(gw: states.Gateway, request: peer_message.SyncRequest) -> None:
    known_config = gw.config_state
    if known_config.version > request.version:
        update = peer_message.ConfigUpdate(gw.name, known_config.raw)
        gw.transport.send(request.address, peer_message.encode(update))
    if gw.registry.revision > request.revision:
        targets = list(gw.registry.targets.values())
        snapshot = peer_message.TargetSnapshot(gw.name, gw.registry.revision, targets)
        gw.transport.send(request.address, peer_message.encode(snapshot))


async def run_peer_expiry(gw: states.Gateway) -> None:
    """Drop entries that have been gone for long, and delete them from the store."""
    first_relay_since: float | None = None
    while True:
        await trio.sleep(peers.PEER_TIMEOUT_SECONDS)
        now = boot_clock.now()
        is_first_relay = gw.choose_own_relays(now)[:1] == [gw.name]
        first_relay_since = (first_relay_since or now) if is_first_relay else None
        if first_relay_since is not None:
            silent = peers.find_silent(gw.peers, gw.data_centre, first_relay_since, now)
            for name in silent:
                events.log("peer.removed", peer=name)
                gw.drop_peer(name)
                await gw.store.delete(ENTRIES_KIND, name)
        for name in peers.find_expired(gw.peers, gw.listing_seconds, now):
            events.log("peer.forgotten", peer=name)
            gw.drop_peer(name)
