"""The task that keeps the lease of the data centre."""

from __future__ import annotations

import msgspec
import trio

from galenavane.config import settings
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.platform import lease, lease_value

LEASE_PREFIX = "lease/"
STEP_SECONDS = 0.5


async def run(view: views.View) -> None:
    """Take and renew the lease until cancelled; give it up when the entry leaves."""
    key = LEASE_PREFIX + view.cfg.get(settings.DATA_CENTRE)
    state = lease.State(view.cfg.get(settings.NAME), view.incarnation)
    while not view.leaving.value:
        order = lease.next_command(state, trio.current_time())
        if isinstance(order, lease.Write):
            await _write(view, key, state, order)
        elif order is not None:
            await _read(view, key, state)
        _publish(view, state)
        with trio.move_on_after(STEP_SECONDS):
            await view.leaving.wait_change()
    released = lease.release(state)
    if released is not None:
        await _write(view, key, state, released)
    _publish(view, state)


async def _read(view: views.View, key: str, state: lease.State) -> None:
    sent_at = trio.current_time()
    found = await view.platform.get(key)
    if found.is_error():
        return
    text = found.ok.value
    value = msgspec.json.decode(text, type=lease_value.LeaseValue) if text else None
    lease.observe(state, found.ok.version, value, sent_at, trio.current_time())


async def _write(view: views.View, key: str, state: lease.State, order: lease.Write) -> None:
    sent_at = trio.current_time()
    text = msgspec.json.encode(order.value).decode()
    written = await view.platform.put(key, text, order.if_version)
    if written.is_ok():
        lease.written(state, written.ok, order.value, sent_at)
        return
    lease.write_unsettled(state)


def _publish(view: views.View, state: lease.State) -> None:
    token = lease.token(state, trio.current_time())
    if token != view.token.value:
        events.log("lease.token", token=token)
        view.token.publish(token)
