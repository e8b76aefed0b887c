"""Talks to the other entries."""

from __future__ import annotations

import msgspec
import trio

from galenavane.fleet import group, registry
from galenavane.gateway import (
    boot_clock,
    config_task,
    heads_task,
    peer_message,
    peers,
    settings,
)
from galenavane.gateway import state as states
from galenavane.observe import events

ENTRIES_KIND = "galenavane-entries"
PULSE_SECONDS = 0.1
"""With few entries: a head gets about one request in this time from all of them."""
PULSE_PEER_SECONDS = 0.008
"""Added for each peer, so that messages of all entries together grow no faster than they do."""
LIST_SECONDS = 3.0
STORE_SILENT_SECONDS = 1.6
"""Older words of the store are replaced by those of peers."""


class Listed(msgspec.Struct, frozen=True):
    """Where an entry hears the others."""

    address: str
    incarnation: str


def own_address(gw: states.Gateway) -> str:
    """Return where this entry hears the others."""
    return f"{gw.cfg.get(settings.HOST)}:{gw.cfg.get(settings.PEER_PORT)}"


async def run_listing(gw: states.Gateway) -> None:
    """Make this entry known, and learn of the others."""
    is_listed = False
    while True:
        if not is_listed:
            is_listed = await _list_own(gw)
        found = await gw.store.list_objects(ENTRIES_KIND)
        if found.is_ok():
            for one in found.ok:
                _learn(gw, one.name, one.value)
        wait = LIST_SECONDS if is_listed and gw.peers else 0.5
        await trio.sleep(wait * (0.8 + 0.4 * gw.rng.random()))


async def _list_own(gw: states.Gateway) -> bool:
    value = Listed(own_address(gw), gw.incarnation)
    made = await gw.store.create(ENTRIES_KIND, gw.name, value)
    if made.is_ok():
        return True
    return (await gw.store.replace(ENTRIES_KIND, gw.name, value, None)).is_ok()


def _learn(gw: states.Gateway, name: str, value: bytes) -> None:
    if name == gw.name:
        return
    try:
        found = msgspec.json.decode(value, type=Listed)
    except msgspec.DecodeError as exc:
        events.log("peer.damaged", peer=name, text=str(exc))
        return
    now = boot_clock.now()
    known = gw.peers.get(name)
    is_silent = known is None or now - known.heard_at > peers.SILENT_SECONDS
    if known is None or (is_silent and known.address != found.address):
        gw.peers[name] = peers.Peer(name, found.address, now)


async def run_pulses(gw: states.Gateway) -> None:
    """Tell the others regularly what this entry knows and has under way."""
    while True:
        now = boot_clock.now()
        for one in list(gw.peers.values()):
            gw.transport.send(one.address, peer_message.encode(_make_pulse(gw, one, now)))
        _ask_if_behind(gw, now)
        await trio.sleep(PULSE_SECONDS + PULSE_PEER_SECONDS * len(gw.peers))


def _make_pulse(gw: states.Gateway, to: peers.Peer, now: float) -> peer_message.Pulse:
    word = gw.knowledge
    loads = [
        peer_message.HeadLoad(head, len(one.reads)) for head, one in gw.heads.items() if one.reads
    ]
    return peer_message.Pulse(
        sender=gw.name,
        address=own_address(gw),
        incarnation=gw.incarnation,
        sent_at=now,
        echoed_at=to.pulse.sent_at if to.pulse is not None else 0.0,
        version=word.version,
        confirmed_age=min(now - word.confirmed_at, 1e6),
        store_age=min(now - word.store_at, 1e6),
        revision=gw.registry.revision,
        token=gw.steward.token if gw.steward is not None else 0,
        is_stopping=gw.is_stopping,
        loads=loads,
    )


def _ask_if_behind(gw: states.Gateway, now: float) -> None:
    """Ask the entry with the freshest word, while the store doesn't answer this one."""
    if now - gw.knowledge.store_at < STORE_SILENT_SECONDS:
        return
    live = [one for one in peers.list_live(gw.peers, now) if one.pulse is not None]
    ahead = [one for one in live if one.pulse is not None and _is_ahead(gw, one.pulse)]
    if not ahead:
        return
    best = max(ahead, key=lambda one: (one.pulse.revision if one.pulse else 0))
    ask = peer_message.Ask(gw.name, own_address(gw), gw.knowledge.version, gw.registry.revision)
    gw.transport.send(best.address, peer_message.encode(ask))


def _is_ahead(gw: states.Gateway, pulse: peer_message.Pulse) -> bool:
    return pulse.version > gw.knowledge.version or pulse.revision > gw.registry.revision


async def run_hearing(gw: states.Gateway) -> None:
    """Take in what the others tell."""
    while True:
        found = peer_message.decode(await gw.transport.receive())
        if found is None:
            events.log("peer.damaged")
            continue
        _hear(gw, found)


def _hear(gw: states.Gateway, found: peer_message.Message) -> None:
    now = boot_clock.now()
    match found:
        case peer_message.Pulse():
            _hear_pulse(gw, found, now)
        case peer_message.Ask():
            _answer(gw, found)
        case peer_message.Config():
            # Without an echo nothing is known of its age, so it confirms nothing by itself.
            config_task.take_config(gw, found.raw, float("-inf"), found.sender)
        case peer_message.Targets():
            registry.replace(gw.registry, found.targets, found.revision, trio.current_time())
            gw.wake_control()
        case peer_message.Stall():
            key = group.Key(found.group, found.epoch)
            gw.stalls.append((found.service, key, tuple(found.missing)))
            gw.wake_control()
            if found.missing:
                heads_task.hear_still(gw, found.head, key)


def _hear_pulse(gw: states.Gateway, found: peer_message.Pulse, now: float) -> None:
    known = gw.peers.get(found.sender)
    if known is None or now - known.heard_at > peers.SILENT_SECONDS:
        events.log("peer.met", peer=found.sender)
    peers.hear(gw.peers, found, gw.knowledge, now)


def _answer(gw: states.Gateway, found: peer_message.Ask) -> None:
    word = gw.knowledge
    if word.version > found.version:
        reply = peer_message.Config(gw.name, word.raw)
        gw.transport.send(found.address, peer_message.encode(reply))
    if gw.registry.revision > found.revision:
        listed = list(gw.registry.targets.values())
        targets = peer_message.Targets(gw.name, gw.registry.revision, listed)
        gw.transport.send(found.address, peer_message.encode(targets))


async def run_forgetting(gw: states.Gateway) -> None:
    """Drop entries that are gone for long."""
    while True:
        await trio.sleep(peers.SILENT_SECONDS)
        now = boot_clock.now()
        for name in peers.forget(gw.peers, now):
            events.log("peer.forgotten", peer=name)
            if gw.steward is not None:
                await gw.store.delete(ENTRIES_KIND, name)
