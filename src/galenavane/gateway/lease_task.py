"""Takes, renews and gives up the right to command targets."""

from __future__ import annotations

import msgspec
import trio

from galenavane.control import controller_state
from galenavane.failure import code as codes
from galenavane.gateway import boot_clock, lease, object_store, peers
from galenavane.gateway import state as states
from galenavane.observe import events

LEASE_KIND = "galenavane-leases"
LEASE_NAME = "control"
TICK_SECONDS = 0.1


async def run(gw: states.Gateway) -> None:
    """Hold the lease whenever nobody else does, until the process stops."""
    while not gw.is_stopping:
        now = boot_clock.now()
        command = lease.next_action(
            gw.lease, _is_holder_alive(gw, now), _is_holder_lost(gw, now), now
        )
        if gw.config_state.catalog is None:
            command = None
        if isinstance(command, lease.Read):
            await _read(gw)
        elif isinstance(command, lease.Write):
            await _write(gw, command)
        _start_or_stop_control(gw)
        await trio.sleep(TICK_SECONDS * (0.7 + 0.6 * gw.rng.random()))
    await _release(gw)


HOLDER_TIMEOUT_SECONDS = 1.1
"""The holder's word reaches all entries within two or three regular messages."""


def _is_holder_alive(gw: states.Gateway, now: float) -> bool:
    if _is_holder_restarted(gw):
        return False
    is_recent = now - gw.holder_report.seen_at <= HOLDER_TIMEOUT_SECONDS
    return is_recent and gw.holder_report.token >= gw.lease.record.token


def _is_holder_lost(gw: states.Gateway, now: float) -> bool:
    if _is_holder_restarted(gw):
        return True
    was_heard = gw.holder_report.token == gw.lease.record.token and gw.holder_report.token > 0
    return was_heard and now - gw.holder_report.seen_at > HOLDER_TIMEOUT_SECONDS


def _is_holder_restarted(gw: states.Gateway) -> bool:
    """Whether the holder's process was replaced by a new one."""
    name, _, incarnation = gw.lease.record.holder.partition("/")
    found = gw.peers.get(name)
    return (
        found is not None
        and found.heartbeat is not None
        and found.heartbeat.incarnation != incarnation
    )


async def _read(gw: states.Gateway) -> None:
    found = await gw.store.read(LEASE_KIND, LEASE_NAME)
    now = boot_clock.now()
    if found.is_ok():
        lease.observe(gw.lease, found.ok.revision, _decode_record(found.ok), now)
    elif found.error.code is codes.Code.OBJECT_MISSING:
        lease.observe(gw.lease, 0, lease.LeaseRecord("", 0, 0), now)


async def _write(gw: states.Gateway, command: lease.Write) -> None:
    sent_at = boot_clock.now()
    gw.lease.sent_at = sent_at
    if command.revision == 0:
        made = await gw.store.create(LEASE_KIND, LEASE_NAME, command.record)
    else:
        made = await gw.store.replace(LEASE_KIND, LEASE_NAME, command.record, command.revision)
    if made.is_ok():
        lease.record_write(gw.lease, made.ok.revision, command.record, sent_at)
        return
    if made.error.code in (
        codes.Code.PLATFORM_CONFLICT,
        codes.Code.PLATFORM_UNKNOWN,
        codes.Code.OBJECT_MISSING,
    ):
        await _resolve_write(gw, command, sent_at)


async def _resolve_write(gw: states.Gateway, command: lease.Write, sent_at: float) -> None:
    """Read what the lease holds after a write whose effect is not known."""
    found = await gw.store.read(LEASE_KIND, LEASE_NAME)
    if found.is_error():
        return
    value = _decode_record(found.ok)
    if value == command.record:
        lease.record_write(gw.lease, found.ok.revision, value, sent_at)
        return
    if lease.observe(gw.lease, found.ok.revision, value, boot_clock.now()):
        events.log("lease.lost", token=command.record.token, holder=value.holder)


def _decode_record(found: object_store.StoredObject) -> lease.LeaseRecord:
    try:
        return msgspec.json.decode(found.value, type=lease.LeaseRecord)
    except msgspec.DecodeError as exc:
        events.log("lease.damaged", text=str(exc))
        return lease.LeaseRecord("", 0, 0)


def _start_or_stop_control(gw: states.Gateway) -> None:
    """Begin to command with a new lease, and stop when it may be another's."""
    now = boot_clock.now()
    held = lease.is_held(gw.lease, now) or _may_keep_control(gw, now)
    token = gw.lease.record.token
    if held:
        lease.record_holder_report(gw.holder_report, token, now)
    if held and (gw.controller_state is None or gw.controller_state.token != token):
        gw.controller_state = controller_state.ControllerState(token)
        events.log("lease.gained", token=token)
        gw.wake_control()
    elif not held and gw.controller_state is not None:
        events.log("lease.ended", token=gw.controller_state.token, text="not renewed in time")
        gw.controller_state = None


def _may_keep_control(gw: states.Gateway, now: float) -> bool:
    """Whether a holder that can't renew goes on, since nobody else can hold the lease either."""
    if gw.controller_state is None or not lease.is_recorded_holder(gw.lease):
        return False
    if gw.holder_report.token > gw.controller_state.token:
        return False
    live = [one.heartbeat for one in gw.peers.values() if peers.is_alive(one, now)]
    return all(one is None or one.store_age > lease.LEASE_SECONDS for one in live)


async def _release(gw: states.Gateway) -> None:
    gw.controller_state = None
    command = lease.make_release(gw.lease)
    if command is not None:
        await gw.store.replace(LEASE_KIND, LEASE_NAME, command.record, command.revision)
        events.log("lease.released", token=command.record.token)
