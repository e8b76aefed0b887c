"""Task that acquires and renews the control lease of the data centre."""

from __future__ import annotations

import msgspec
import trio

from galenavane.config import settings
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.store import lease, lease_value, stored

LEASE_PREFIX = "lease/"
CHECK_INTERVAL_SECONDS = 0.5
RETRY_DELAY_SECONDS = 0.5


async def run(view: views.View) -> None:
    """Acquire and renew the lease until cancelled; release it when the entry leaves."""
    key = LEASE_PREFIX + view.cfg.get(settings.DATA_CENTRE)
    state = lease.State(view.cfg.get(settings.NAME), view.incarnation)
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_leaving, view, scope)
            await _maintain(view, key, state)
    await _release(view, key, state)


async def _cancel_on_leaving(view: views.View, scope: trio.CancelScope) -> None:
    while not view.is_leaving.value:
        await view.is_leaving.wait_change()
    scope.cancel()


async def _maintain(view: views.View, key: str, state: lease.State) -> None:
    while True:
        _learn_tokens(view, state)
        action = lease.next_action(state, trio.current_time())
        if isinstance(action, lease.Write):
            await _write(view, key, state, action)
        elif isinstance(action, lease.Watch):
            await _watch(view, key, state, action.wait_seconds)
        elif action is not None:
            await _read(view, key, state)
        _publish(view, state)
        if not isinstance(action, lease.Watch):
            await trio.sleep(CHECK_INTERVAL_SECONDS if action is None else 0)


async def _release(view: views.View, key: str, state: lease.State) -> None:
    """Release the lease, after commands in flight have ended.

    A successor could otherwise command targets that still get commands of this entry.
    """
    view.grant.publish(None)
    while view.is_commanding.value:
        await view.is_commanding.wait_change()
    lease.require_read(state)
    await _read(view, key, state)
    release_write = lease.make_release(state)
    if release_write is not None:
        await _write(view, key, state, release_write)
    view.token.publish(None)


def _learn_tokens(view: views.View, state: lease.State) -> None:
    """Raise the highest token to those in targets' reports and the table.

    The platform may have lost the writes with these tokens.
    """
    own = view.cfg.get(settings.DATA_CENTRE)
    tokens = [
        target.report.token
        for target in view.instance_statuses.value.values()
        if target.report is not None and target.instance.data_centre == own
    ]
    known = view.tables.value.get(own)
    if known is not None:
        tokens.append(known.token)
    if lease.raise_highest_token(state, max(tokens, default=0), trio.current_time()):
        state.is_read_due = True


async def _read(view: views.View, key: str, state: lease.State) -> None:
    stored_lease = await view.platform.get(key)
    if stored_lease.is_error():
        lease.record_no_answer(state, trio.current_time())
        await trio.sleep(RETRY_DELAY_SECONDS)
        return
    _record_read(state, stored_lease.ok)


async def _watch(view: views.View, key: str, state: lease.State, wait_seconds: float) -> None:
    changes = await view.platform.watch(key, state.version, wait_seconds)
    if changes.is_error():
        lease.record_no_answer(state, trio.current_time())
        await trio.sleep(RETRY_DELAY_SECONDS)
        return
    if changes.ok.revision < state.version:
        lease.require_read(state)
    for changed in changes.ok.objects:
        if changed.key == key:
            _record_read(state, changed)


def _record_read(state: lease.State, stored_lease: stored.StoredObject) -> None:
    value = (
        msgspec.json.decode(stored_lease.value, type=lease_value.LeaseValue)
        if stored_lease.value
        else None
    )
    if lease.record_read(state, stored_lease.version, value, trio.current_time()):
        events.log(
            "lease.older_data",
            text="the platform returned an older lease than before; a lower token is never used",
            version=stored_lease.version,
            highest_token=state.highest_token,
        )


async def _write(view: views.View, key: str, state: lease.State, action: lease.Write) -> None:
    lease.record_write_sent(state, action, trio.current_time())
    text = msgspec.json.encode(action.value).decode()
    written = await view.platform.put(key, text, action.if_version)
    if written.is_ok():
        lease.record_written(state, written.ok, action.value)
        return
    lease.require_read(state)


def _publish(view: views.View, state: lease.State) -> None:
    token = lease.get_token(state, trio.current_time())
    if token != view.token.value:
        events.log("lease.token", token=token)
        view.token.publish(token)
    grant = lease.get_grant(state)
    if grant != view.grant.value:
        view.grant.publish(grant)
