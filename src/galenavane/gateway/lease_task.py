"""Claims, renews and releases the lease that allows this entry to command the targets."""

from __future__ import annotations

import msgspec
import trio

from galenavane.control import controller_state
from galenavane.failure import code as codes
from galenavane.gateway import boot_clock, lease, object_store, peers
from galenavane.gateway import state as states
from galenavane.net import untrusted_json
from galenavane.observe import events

LEASE_KIND = "galenavane-leases"
LEASE_NAME = "control"
TICK_SECONDS = 0.1
CANDIDATE_TICK_SECONDS = 0.25
"""Interval of a relay while another entry reports that it holds the lease."""
FOLLOWER_TICK_SECONDS = 0.5
"""The same of an entry that is no relay, which leaves the claim to the relays first."""


async def run(gw: states.Gateway) -> None:
    """Hold the lease whenever no other entry does, and release it when the process stops."""
    while not gw.is_stopping:
        now = boot_clock.now()
        is_holder_alive = _is_holder_alive(gw, now)
        lease.record_holder_state(gw.lease, is_holder_alive, now)
        is_candidate = gw.name in gw.choose_own_relays(now)
        action = lease.next_action(
            gw.lease, is_holder_alive, _is_holder_lost(gw, now), now, is_candidate
        )
        if gw.config_state.catalog is None:
            action = None
        if isinstance(action, lease.Read):
            await _read(gw)
        elif isinstance(action, lease.Write):
            await _write(gw, action)
        start_or_stop_control(gw)
        tick_seconds = TICK_SECONDS
        if gw.control is None and is_holder_alive:
            tick_seconds = CANDIDATE_TICK_SECONDS if is_candidate else FOLLOWER_TICK_SECONDS
        await trio.sleep(tick_seconds * (0.7 + 0.6 * gw.rng.random()))
    await _release(gw)


HOLDER_TIMEOUT_SECONDS = 1.1
"""A report of the holder reaches all entries within two or three heartbeats."""


def _is_holder_alive(gw: states.Gateway, now: float) -> bool:
    if _is_holder_restarted(gw):
        return False
    is_recent = now - gw.holder_report.seen_at <= HOLDER_TIMEOUT_SECONDS
    return is_recent and gw.holder_report.token >= gw.lease.record.token


def _is_holder_lost(gw: states.Gateway, now: float) -> bool:
    if _is_holder_restarted(gw):
        return True
    has_reported_before = (
        gw.holder_report.token == gw.lease.record.token and gw.holder_report.token > 0
    )
    return has_reported_before and now - gw.holder_report.seen_at > HOLDER_TIMEOUT_SECONDS


def _is_holder_restarted(gw: states.Gateway) -> bool:
    """Whether a new process has taken the place of the holder's."""
    name, _, incarnation = gw.lease.record.holder.partition("/")
    peer = gw.peers.get(name)
    return (
        peer is not None
        and peer.heartbeat is not None
        and peer.heartbeat.incarnation != incarnation
    )


async def _read(gw: states.Gateway) -> None:
    stored = await gw.store.read(LEASE_KIND, LEASE_NAME)
    now = boot_clock.now()
    if stored.is_ok():
        lease.observe(gw.lease, stored.ok.revision, _decode_record(stored.ok), now)
    elif stored.error.code is codes.Code.OBJECT_MISSING:
        lease.observe(gw.lease, 0, lease.LeaseRecord("", 0, 0), now)


async def _write(gw: states.Gateway, action: lease.Write) -> None:
    sent_at = boot_clock.now()
    gw.lease.sent_at = sent_at
    if action.revision == 0:
        written = await gw.store.create(LEASE_KIND, LEASE_NAME, action.record)
    else:
        written = await gw.store.replace(LEASE_KIND, LEASE_NAME, action.record, action.revision)
    if written.is_ok():
        lease.record_write(gw.lease, written.ok.revision, action.record, sent_at)
        return
    if written.error.code in (
        codes.Code.PLATFORM_CONFLICT,
        codes.Code.PLATFORM_UNKNOWN,
        codes.Code.OBJECT_MISSING,
    ):
        await _resolve_write(gw, action, sent_at)


async def _resolve_write(gw: states.Gateway, action: lease.Write, sent_at: float) -> None:
    """Read the lease to find out whether a write took effect."""
    stored = await gw.store.read(LEASE_KIND, LEASE_NAME)
    if stored.is_error():
        return
    record = _decode_record(stored.ok)
    if record == action.record:
        lease.record_write(gw.lease, stored.ok.revision, record, sent_at)
        return
    if lease.observe(gw.lease, stored.ok.revision, record, boot_clock.now()):
        events.log("lease.lost", token=action.record.token, holder=record.holder)


def _decode_record(stored: object_store.StoredObject) -> lease.LeaseRecord:
    try:
        return untrusted_json.decode(stored.value, lease.LeaseRecord)
    except msgspec.DecodeError as exc:
        events.log("lease.damaged", text=str(exc))
        return lease.LeaseRecord("", 0, 0)


def start_or_stop_control(gw: states.Gateway) -> None:
    """Start the controller with a new lease, and stop it when another entry may hold the lease."""
    now = boot_clock.now()
    is_held = lease.is_held(gw.lease, now) or _may_outlast_lease(gw, now)
    token = gw.lease.record.token
    if is_held:
        lease.record_holder_report(gw.holder_report, token, now)
    if is_held and (gw.control is None or gw.control.token != token):
        gw.control = _resume_or_make_control(gw, token)
        gw.wake_control()
    elif not is_held and gw.control is not None:
        events.log("lease.ended", token=gw.control.token, text="not renewed in time")
        gw.lapsed_control = gw.control
        gw.control = None


def _resume_or_make_control(gw: states.Gateway, token: int) -> controller_state.Control:
    """Return the state of a controller, which goes on if its lease was renewed after it lapsed.

    It then still knows its epochs, and which of its commands may yet be carried out.
    """
    lapsed, gw.lapsed_control = gw.lapsed_control, None
    is_resumed = lapsed is not None and lapsed.token == token
    events.log("lease.gained", token=token, is_resumed=is_resumed)
    return lapsed if lapsed is not None and is_resumed else controller_state.Control(token)


def may_command(gw: states.Gateway, control: controller_state.Control) -> bool:
    """Whether a command that a controller decided may be sent now.

    Asked immediately before each send, since the process may have been paused after the decision.
    """
    now = boot_clock.now()
    if gw.control is not control or gw.lease.record.token != control.token:
        return False
    return lease.is_held(gw.lease, now) or _may_outlast_lease(gw, now)


def _may_outlast_lease(gw: states.Gateway, now: float) -> bool:
    """Whether a holder that can't renew may keep control since no live peer can reach the store."""
    if gw.control is None or gw.holder_report.token > gw.control.token:
        return False
    live_store_ages = [
        peer.heartbeat.store_age
        for peer in gw.peers.values()
        if peer.heartbeat is not None and peers.is_alive(peer, now)
    ]
    is_recorded = lease.is_recorded_holder(gw.lease)
    return lease.may_outlast(is_recorded, len(gw.peers), live_store_ages)


async def _release(gw: states.Gateway) -> None:
    gw.control = None
    action = lease.make_release(gw.lease)
    if action is not None:
        await gw.store.replace(LEASE_KIND, LEASE_NAME, action.record, action.revision)
        events.log("lease.released", token=action.record.token)
