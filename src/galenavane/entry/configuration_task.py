"""The task that puts the platform's and the peers' configurations in force."""

from __future__ import annotations

import dataclasses

import trio

from galenavane import invariant
from galenavane.config import accept, in_force, settings, settle, start
from galenavane.config import head as heads
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.peer import membership
from galenavane.store import backoff

WATCH_SECONDS = 10.0
WATCHER_POLL_SECONDS = 2.0
OTHER_POLL_SECONDS = 4.0
SILENT_WATCH_SECONDS = 1.0
STEP_SECONDS = 0.25
RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class _State:
    """What the task knows before and while a configuration is in force.

    :ivar best: highest configuration offered, in force once the entry may start.
    :ivar answered_at: when the platform or a peer first answered.
    :ivar watches: watches that have returned.
    :ivar watch_scope: cancels the watch under way.
    """

    view: views.View
    best: in_force.InForce | None = None
    is_started: bool = False
    is_head_read: bool = False
    answered_at: float = float("inf")
    watches: int = 0
    watch_scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)


async def run(view: views.View) -> None:
    """Follow the configuration until cancelled."""
    state = _State(view)
    async with trio.open_nursery() as nursery:
        for task in (_watch, _poll, _hear_peers, _start):
            nursery.start_soon(task, state)


async def _watch(state: _State) -> None:
    """Wait for changes of the head, while this entry is a watcher of its data centre."""
    revision, tries = 0, 0
    while True:
        if not is_watcher(state.view):
            await trio.sleep(STEP_SECONDS)
            continue
        with trio.CancelScope() as state.watch_scope:
            found = await state.view.platform.watch(heads.HEAD_KEY, revision, WATCH_SECONDS)
        state.watches += 1
        if state.watch_scope.cancelled_caught:
            continue
        if found.is_ok():
            texts = [one.value for one in found.ok.objects if one.value]
            if all([await _take(state, text) for text in texts]):
                revision, tries = found.ok.revision, 0
                continue
        tries += 1
        await _pause(state.view, tries)


async def _poll(state: _State) -> None:
    """Read the head now and then, which also notices a watch that has gone silent."""
    tries = 0
    while True:
        found = await state.view.platform.get(heads.HEAD_KEY)
        if found.is_ok() and (not found.ok.value or await _take_polled(state, found.ok.value)):
            state.is_head_read = True
            tries = 0
            await _wait_poll(state)
        else:
            tries += 1
            await _pause(state.view, tries)


async def _wait_poll(state: _State) -> None:
    """Wait until a poll is due; an entry that becomes a watcher polls soon."""
    waited = 0.0
    factor = state.view.rng.uniform(0.8, 1.2)
    while waited < factor * poll_period(state.view):
        await trio.sleep(STEP_SECONDS)
        waited += STEP_SECONDS


def poll_period(view: views.View) -> float:
    """Return the time between two reads of the head, in seconds."""
    return WATCHER_POLL_SECONDS if is_watcher(view) else OTHER_POLL_SECONDS


async def _take_polled(state: _State, text: str) -> bool:
    """Take in a head that was polled; a watch that does not show it soon is given up."""
    before, watches = _generation(state), state.watches
    taken = await _take(state, text)
    if before and _generation(state) > before and is_watcher(state.view):
        await trio.sleep(SILENT_WATCH_SECONDS)
        if state.watches == watches:
            events.log("config.watch_silent", generation=_generation(state))
            state.watch_scope.cancel()
    return taken


async def _take(state: _State, text: str) -> bool:
    """Take in a head of the platform; return whether nothing is left to be read."""
    head = settle.decode(text)
    if head.is_error():
        events.log("config.damaged", reason=head.error.message)
        return False
    current = state.view.configuration.value or state.best
    _note_platform(state.view, current, head.ok)
    if in_force.compare(current, head.ok) is not in_force.Relation.NEWER:
        return True
    known = in_force.known_sections(current)
    declared = await accept.read_sections(state.view.platform, head.ok, known)
    if declared.is_error():
        events.log("config.not_read", reason=declared.error.message)
        return False
    _consider(state, in_force.InForce(head.ok, declared.ok), "platform")
    return True


def _note_platform(view: views.View, current: in_force.InForce | None, head: heads.Head) -> None:
    """Publish the platform's generation, and log when it is behind this entry."""
    if head.generation == view.platform_generation.value:
        return
    view.platform_generation.publish(head.generation)
    relation = in_force.compare(current, head)
    if relation in (in_force.Relation.OLDER, in_force.Relation.FORKED) and current is not None:
        events.log(
            f"config.platform_{relation.value}",
            platform_generation=head.generation,
            generation=current.head.generation,
        )


async def _hear_peers(state: _State) -> None:
    while True:
        offered = state.view.offered_configuration.value
        if offered is not None:
            _consider(state, offered, "peer")
        await state.view.offered_configuration.wait_change()


def _consider(state: _State, offered: in_force.InForce, source: str) -> None:
    if not state.is_started:
        state.best = in_force.choose(state.best, offered)
        return
    current = state.view.configuration.value
    if in_force.choose(current, offered) is offered:
        _publish(state.view, offered, source)


async def _start(state: _State) -> None:
    """Put the best configuration in force once the platform and peers had time to answer."""
    while not state.is_started:
        now = trio.current_time()
        known = _known(state)
        if known.is_platform_read or known.heard:
            state.answered_at = min(state.answered_at, now)
        if state.best is not None and start.may_start(known, now):
            state.is_started = True
            _publish(state.view, state.best, "start")
        await trio.sleep(STEP_SECONDS / 5)


def _known(state: _State) -> start.Known:
    view = state.view
    own = view.cfg.get(settings.NAME)
    data_centre = view.cfg.get(settings.DATA_CENTRE)
    listed = view.registrations.value
    heard = view.peers.value
    return start.Known(
        began_at=state.answered_at,
        best_generation=state.best.head.generation if state.best else 0,
        is_platform_read=state.is_head_read and listed is not None,
        listed=frozenset(
            one.name for one in listed or [] if one.data_centre == data_centre and one.name != own
        ),
        heard=frozenset(one.name for one in heard),
        heard_generation=max((one.generation for one in heard), default=0),
    )


def _publish(view: views.View, chosen: in_force.InForce, source: str) -> None:
    current = view.configuration.value
    invariant.check(
        invariant.Number.CONFIGURATION,
        current is None or chosen.head.generation > current.head.generation,
        f"generation {chosen.head.generation} would replace a later one",
    )
    events.log(
        "config.in_force",
        generation=chosen.head.generation,
        preset=chosen.head.preset,
        by=source,
    )
    view.configuration.publish(chosen)


def _generation(state: _State) -> int:
    current = state.view.configuration.value
    return current.head.generation if current else 0


def is_watcher(view: views.View) -> bool:
    """Whether this entry watches the platform for its data centre."""
    data_centre = view.cfg.get(settings.DATA_CENTRE)
    local = [
        one.name
        for one in view.peers.value
        if one.data_centre == data_centre and not (one.is_suspected or one.is_leaving)
    ]
    return membership.is_watcher(view.cfg.get(settings.NAME), local)


async def _pause(view: views.View, tries: int) -> None:
    await trio.sleep(backoff.delay(tries, RETRY_SECONDS, MAX_RETRY_SECONDS, view.rng))
