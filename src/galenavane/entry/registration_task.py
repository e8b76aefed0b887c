"""Task that registers this entry in the platform and follows the registrations of others."""

from __future__ import annotations

import dataclasses

import trio

from galenavane.config import settings
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.peer import registration
from galenavane.store import backoff, stored

WATCH_TIMEOUT_SECONDS = 10.0
LIST_INTERVAL_SECONDS = 60.0
RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 5.0
STALE_AFTER_SECONDS = 900.0


@dataclasses.dataclass(slots=True)
class _State:
    """State of the registration task.

    :ivar objects: registration objects by platform key, as last read.
    :ivar revision: platform revision of the last answer.
    :ivar listed_at: monotonic time of the last full listing, plus a random delay of the next.
    :ivar not_live_since: monotonic time since which a registered entry of the data centre has not
        been live, by platform key.
    """

    view: views.View
    objects: dict[str, stored.StoredObject] = dataclasses.field(default_factory=dict)
    revision: int = 0
    listed_at: float = float("-inf")
    not_live_since: dict[str, float] = dataclasses.field(default_factory=dict)


async def run(view: views.View) -> None:
    """Register and follow the registrations until the entry leaves, then unregister."""
    state = _State(view)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow, state)
        while not view.is_leaving.value:
            await view.is_leaving.wait_change()
        nursery.cancel_scope.cancel()
    await _unregister(state)


async def _follow(state: _State) -> None:
    failures = 0
    while True:
        if await _refresh(state) and await _register(state):
            failures = 0
            _publish(state)
            await _delete_stale(state)
        else:
            failures += 1
            delay = backoff.compute_delay(
                failures, RETRY_SECONDS, MAX_RETRY_SECONDS, state.view.rng
            )
            await trio.sleep(delay)


async def _refresh(state: _State) -> bool:
    """List all registrations when a listing is due, else wait for changes.

    :returns: whether the platform answered with data that is no older than before.
    """
    platform = state.view.platform
    now = trio.current_time()
    if now >= state.listed_at + LIST_INTERVAL_SECONDS:
        response = await platform.list_objects(registration.PREFIX)
        if response.is_error():
            return False
        state.objects.clear()
        state.listed_at = now + state.view.rng.uniform(0, LIST_INTERVAL_SECONDS)
    else:
        response = await platform.watch(registration.PREFIX, state.revision, WATCH_TIMEOUT_SECONDS)
        if response.is_error() or response.ok.revision < state.revision:
            state.listed_at = float("-inf")
            return False
    state.revision = response.ok.revision
    for changed in response.ok.objects:
        _apply_change(state, changed)
    return True


def _apply_change(state: _State, changed: stored.StoredObject) -> None:
    if changed.value:
        state.objects[changed.key] = changed
    else:
        state.objects.pop(changed.key, None)


async def _register(state: _State) -> bool:
    """Write this entry's registration if it is missing or differs; return whether it is stored."""
    own = _make_own_registration(state.view)
    key = registration.key(own.name)
    text = registration.encode(own)
    present = state.objects.get(key)
    if state.view.is_leaving.value or (present is not None and present.value == text):
        return True
    written = await state.view.platform.put(key, text, None)
    if written.is_ok():
        state.objects[key] = stored.StoredObject(key, written.ok, text)
        events.log("entry.registered")
    return written.is_ok()


async def _unregister(state: _State) -> None:
    own = _make_own_registration(state.view)
    stored_registration = await state.view.platform.get(registration.key(own.name))
    if stored_registration.is_ok() and stored_registration.ok.value == registration.encode(own):
        await state.view.platform.delete(stored_registration.ok.key, stored_registration.ok.version)


def _make_own_registration(view: views.View) -> registration.Registration:
    return registration.Registration(
        view.cfg.get(settings.NAME),
        view.incarnation,
        view.cfg.get(settings.DATA_CENTRE),
        str(view.cfg.get(settings.PEERS)),
        str(view.cfg.get(settings.OPERATORS)),
    )


def _publish(state: _State) -> None:
    entries = [registration.decode(stored_object.value) for stored_object in state.objects.values()]
    state.view.registrations.publish([entry for entry in entries if entry is not None])


async def _delete_stale(state: _State) -> None:
    """Delete registrations of entries of the data centre that have not been live for long."""
    now = trio.current_time()
    live = {peer.name for peer in state.view.peers.value} | {state.view.cfg.get(settings.NAME)}
    own = state.view.cfg.get(settings.DATA_CENTRE)
    for key, stored_registration in list(state.objects.items()):
        entry = registration.decode(stored_registration.value)
        if entry is None or entry.data_centre != own or entry.name in live:
            state.not_live_since.pop(key, None)
        elif now >= state.not_live_since.setdefault(key, now) + STALE_AFTER_SECONDS:
            events.log("entry.swept", peer=entry.name)
            await state.view.platform.delete(key, stored_registration.version)
            del state.not_live_since[key]
