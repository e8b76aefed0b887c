"""The task that keeps the lease of the data centre."""

from __future__ import annotations

import msgspec
import trio

from galenavane.config import settings
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.store import lease, lease_value, stored

LEASE_PREFIX = "lease/"
STEP_SECONDS = 0.5
RETRY_SECONDS = 0.5


async def run(view: views.View) -> None:
    """Take and renew the lease until cancelled; give it up when the entry leaves."""
    key = LEASE_PREFIX + view.cfg.get(settings.DATA_CENTRE)
    state = lease.State(view.cfg.get(settings.NAME), view.incarnation)
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_leaving, view, scope)
            await _keep(view, key, state)
    await _give_up(view, key, state)


async def _cancel_on_leaving(view: views.View, scope: trio.CancelScope) -> None:
    while not view.leaving.value:
        await view.leaving.wait_change()
    scope.cancel()


async def _keep(view: views.View, key: str, state: lease.State) -> None:
    while True:
        _hear_tokens(view, state)
        order = lease.next_action(state, trio.current_time())
        if isinstance(order, lease.Write):
            await _write(view, key, state, order)
        elif isinstance(order, lease.Watch):
            await _watch(view, key, state, order.wait_seconds)
        elif order is not None:
            await _read(view, key, state)
        _publish(view, state)
        if not isinstance(order, lease.Watch):
            await trio.sleep(STEP_SECONDS if order is None else 0)


async def _give_up(view: views.View, key: str, state: lease.State) -> None:
    """Let commands in flight end first, so that a successor meets none of them."""
    view.grant.publish(None)
    while view.commanding.value:
        await view.commanding.wait_change()
    lease.require_read(state)
    await _read(view, key, state)
    released = lease.release(state)
    if released is not None:
        await _write(view, key, state, released)
    view.token.publish(None)


def _hear_tokens(view: views.View, state: lease.State) -> None:
    """Learn tokens that the platform may have forgotten."""
    own = view.cfg.get(settings.DATA_CENTRE)
    shown = [
        one.report.token
        for one in view.target_reports.value.values()
        if one.report is not None and one.instance.data_centre == own
    ]
    known = view.tables.value.get(own)
    if known is not None:
        shown.append(known.token)
    if lease.raise_highest_token(state, max(shown, default=0), trio.current_time()):
        state.is_read_due = True


async def _read(view: views.View, key: str, state: lease.State) -> None:
    found = await view.platform.get(key)
    if found.is_error():
        lease.record_no_answer(state, trio.current_time())
        await trio.sleep(RETRY_SECONDS)
        return
    _observe(state, found.ok)


async def _watch(view: views.View, key: str, state: lease.State, wait_seconds: float) -> None:
    found = await view.platform.watch(key, state.version, wait_seconds)
    if found.is_error():
        lease.record_no_answer(state, trio.current_time())
        await trio.sleep(RETRY_SECONDS)
        return
    if found.ok.revision < state.version:
        lease.require_read(state)
    for changed in found.ok.objects:
        if changed.key == key:
            _observe(state, changed)


def _observe(state: lease.State, found: stored.StoredObject) -> None:
    value = msgspec.json.decode(found.value, type=lease_value.LeaseValue) if found.value else None
    if lease.record_read(state, found.version, value, trio.current_time()):
        events.log(
            "lease.older_data",
            text="the platform shows an older lease than was seen; no lower token is used",
            version=found.version,
            highest_token=state.highest_token,
        )


async def _write(view: views.View, key: str, state: lease.State, order: lease.Write) -> None:
    lease.record_write_sent(state, order, trio.current_time())
    text = msgspec.json.encode(order.value).decode()
    written = await view.platform.put(key, text, order.if_version)
    if written.is_ok():
        lease.record_written(state, written.ok, order.value)
        return
    lease.require_read(state)


def _publish(view: views.View, state: lease.State) -> None:
    token = lease.held_token(state, trio.current_time())
    if token != view.token.value:
        events.log("lease.token", token=token)
        view.token.publish(token)
    found = lease.current_grant(state)
    if found != view.grant.value:
        view.grant.publish(found)
