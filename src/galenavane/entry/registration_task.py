"""The task that makes this entry known in the platform, and learns of the others there."""

from __future__ import annotations

import dataclasses

import trio

from galenavane.config import settings
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.peer import registration
from galenavane.store import backoff, stored

WATCH_SECONDS = 10.0
LIST_SECONDS = 60.0
RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 5.0
SWEEP_SECONDS = 900.0


@dataclasses.dataclass(slots=True)
class _State:
    """Registrations by key, as last read.

    :ivar revision: platform revision of the last answer.
    :ivar listed_at: when all of them were last listed.
    :ivar unheard_since: when a registered entry of the data centre was first found not heard.
    """

    view: views.View
    objects: dict[str, stored.StoredObject] = dataclasses.field(default_factory=dict)
    revision: int = 0
    listed_at: float = float("-inf")
    unheard_since: dict[str, float] = dataclasses.field(default_factory=dict)


async def run(view: views.View) -> None:
    """Register and follow the registrations until the entry leaves, then unregister."""
    state = _State(view)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow, state)
        while not view.leaving.value:
            await view.leaving.wait_change()
        nursery.cancel_scope.cancel()
    await _unregister(state)


async def _follow(state: _State) -> None:
    tries = 0
    while True:
        if await _read(state) and await _register(state):
            tries = 0
            _publish(state)
            await _sweep(state)
        else:
            tries += 1
            wait = backoff.delay(tries, RETRY_SECONDS, MAX_RETRY_SECONDS, state.view.rng)
            await trio.sleep(wait)


async def _read(state: _State) -> bool:
    """List all registrations at times, else wait for changes."""
    platform = state.view.platform
    now = trio.current_time()
    if now >= state.listed_at + LIST_SECONDS:
        found = await platform.list_objects(registration.PREFIX)
        if found.is_error():
            return False
        state.objects.clear()
        state.listed_at = now + state.view.rng.uniform(0, LIST_SECONDS)
    else:
        found = await platform.watch(registration.PREFIX, state.revision, WATCH_SECONDS)
        if found.is_error() or found.ok.revision < state.revision:
            state.listed_at = float("-inf")
            return False
    state.revision = found.ok.revision
    for one in found.ok.objects:
        _remember(state, one)
    return True


def _remember(state: _State, one: stored.StoredObject) -> None:
    if one.value:
        state.objects[one.key] = one
    else:
        state.objects.pop(one.key, None)


async def _register(state: _State) -> bool:
    """Write the own registration unless it is there."""
    own = _own(state.view)
    key = registration.key(own.name)
    text = registration.encode(own)
    present = state.objects.get(key)
    if state.view.leaving.value or (present is not None and present.value == text):
        return True
    written = await state.view.platform.put(key, text, None)
    if written.is_ok():
        state.objects[key] = stored.StoredObject(key, written.ok, text)
        events.log("entry.registered")
    return written.is_ok()


async def _unregister(state: _State) -> None:
    own = _own(state.view)
    found = await state.view.platform.get(registration.key(own.name))
    if found.is_ok() and found.ok.value == registration.encode(own):
        await state.view.platform.delete(found.ok.key, found.ok.version)


def _own(view: views.View) -> registration.Registration:
    return registration.Registration(
        view.cfg.get(settings.NAME),
        view.incarnation,
        view.cfg.get(settings.DATA_CENTRE),
        str(view.cfg.get(settings.PEERS)),
        str(view.cfg.get(settings.OPERATORS)),
    )


def _publish(state: _State) -> None:
    found = [registration.decode(one.value) for one in state.objects.values()]
    state.view.registrations.publish([one for one in found if one is not None])


async def _sweep(state: _State) -> None:
    """Remove registrations of the data centre's entries that were not heard for long."""
    now = trio.current_time()
    heard = {one.name for one in state.view.peers.value} | {state.view.cfg.get(settings.NAME)}
    own = state.view.cfg.get(settings.DATA_CENTRE)
    for key, one in list(state.objects.items()):
        found = registration.decode(one.value)
        if found is None or found.data_centre != own or found.name in heard:
            state.unheard_since.pop(key, None)
        elif now >= state.unheard_since.setdefault(key, now) + SWEEP_SECONDS:
            events.log("entry.swept", peer=found.name)
            await state.view.platform.delete(key, one.version)
            del state.unheard_since[key]
