"""Task that reads configurations from the platform and peers and puts the newest in force."""

from __future__ import annotations

import dataclasses

import trio

from galenavane import invariant
from galenavane.config import accept, head_store, in_force, settings, startup
from galenavane.config import head as heads
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.peer import membership
from galenavane.store import backoff

WATCH_TIMEOUT_SECONDS = 10.0
WATCHER_POLL_SECONDS = 2.0
OTHER_POLL_SECONDS = 4.0
WATCH_LAG_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 0.25
RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class _State:
    """State of the configuration task.

    :ivar best_offer: newest configuration offered before the entry may start.
    :ivar is_started: whether a first configuration was put in force.
    :ivar is_head_read: whether the platform answered a read of the head.
    :ivar first_answer_at: monotonic time of the first answer of the platform or a peer, in seconds.
    :ivar ended_watches: number of watch calls that have returned or were cancelled.
    :ivar watch_scope: cancels the current watch call.
    """

    view: views.View
    best_offer: in_force.Configuration | None = None
    is_started: bool = False
    is_head_read: bool = False
    first_answer_at: float = float("inf")
    ended_watches: int = 0
    watch_scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)


async def run(view: views.View) -> None:
    """Keep the newest configuration in force until cancelled."""
    state = _State(view)
    async with trio.open_nursery() as nursery:
        for task in (_watch, _poll, _follow_peer_offers, _start_when_allowed):
            nursery.start_soon(task, state)


async def _watch(state: _State) -> None:
    """Watch the head in the platform while this entry is a watcher of its data centre."""
    revision, failures = 0, 0
    while True:
        if not is_watcher(state.view):
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            continue
        with trio.CancelScope() as state.watch_scope:
            changes = await state.view.platform.watch(
                heads.HEAD_KEY, revision, WATCH_TIMEOUT_SECONDS
            )
        state.ended_watches += 1
        if state.watch_scope.cancelled_caught:
            continue
        if changes.is_ok():
            texts = [changed.value for changed in changes.ok.objects if changed.value]
            if all([await _handle_head(state, text) for text in texts]):
                revision, failures = changes.ok.revision, 0
                continue
        failures += 1
        await _back_off(state.view, failures)


async def _poll(state: _State) -> None:
    """Read the head periodically, which also detects a watch that misses changes."""
    failures = 0
    while True:
        polled = await state.view.platform.get(heads.HEAD_KEY)
        if polled.is_ok() and (
            not polled.ok.value or await _handle_polled_head(state, polled.ok.value)
        ):
            state.is_head_read = True
            failures = 0
            await _wait_until_poll(state)
        else:
            failures += 1
            await _back_off(state.view, failures)


async def _wait_until_poll(state: _State) -> None:
    """Wait for the poll interval, which shrinks at once when this entry becomes a watcher."""
    waited = 0.0
    factor = state.view.rng.uniform(0.8, 1.2)
    while waited < factor * compute_poll_interval(state.view):
        await trio.sleep(CHECK_INTERVAL_SECONDS)
        waited += CHECK_INTERVAL_SECONDS


def compute_poll_interval(view: views.View) -> float:
    """Return the mean interval between two reads of the head, in seconds."""
    return WATCHER_POLL_SECONDS if is_watcher(view) else OTHER_POLL_SECONDS


async def _handle_polled_head(state: _State, text: str) -> bool:
    """Handle a polled head; cancels a watch that does not return the change soon after."""
    generation_before, watches_before = _get_generation(state), state.ended_watches
    is_handled = await _handle_head(state, text)
    if generation_before and _get_generation(state) > generation_before and is_watcher(state.view):
        await trio.sleep(WATCH_LAG_SECONDS)
        if state.ended_watches == watches_before:
            events.log("config.watch_silent", generation=_get_generation(state))
            state.watch_scope.cancel()
    return is_handled


async def _handle_head(state: _State, text: str) -> bool:
    """Handle a head from the platform; return ``False`` if it has to be read again."""
    head = head_store.decode_head(text)
    if head.is_error():
        events.log("config.damaged", reason=head.error.message)
        return False
    current = state.view.configuration.value or state.best_offer
    _publish_platform_generation(state.view, current, head.ok)
    if in_force.compare(current, head.ok) is not in_force.Relation.NEWER:
        return True
    known = in_force.index_section_texts(current)
    declared = await accept.read_sections(state.view.platform, head.ok, known)
    if declared.is_error():
        events.log("config.not_read", reason=declared.error.message)
        return False
    _consider_offer(state, in_force.Configuration(head.ok, declared.ok), "platform")
    return True


def _publish_platform_generation(
    view: views.View, current: in_force.Configuration | None, head: heads.Head
) -> None:
    """Publish the platform's generation; logs if it is older than this entry's or forked."""
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


async def _follow_peer_offers(state: _State) -> None:
    while True:
        offered = state.view.offered_configuration.value
        if offered is not None:
            _consider_offer(state, offered, "peer")
        await state.view.offered_configuration.wait_change()


def _consider_offer(state: _State, offered: in_force.Configuration, source: str) -> None:
    if not state.is_started:
        state.best_offer = in_force.choose_newest(state.best_offer, offered)
        return
    current = state.view.configuration.value
    if in_force.choose_newest(current, offered) is offered:
        _put_in_force(state.view, offered, source)


async def _start_when_allowed(state: _State) -> None:
    """Put the newest offer in force once the platform and the peers had time to answer."""
    while not state.is_started:
        now = trio.current_time()
        inputs = _collect_start_inputs(state)
        if inputs.is_platform_read or inputs.heard_entries:
            state.first_answer_at = min(state.first_answer_at, now)
        if state.best_offer is not None and startup.may_start(inputs, now):
            state.is_started = True
            _put_in_force(state.view, state.best_offer, "start")
        await trio.sleep(CHECK_INTERVAL_SECONDS / 5)


def _collect_start_inputs(state: _State) -> startup.StartupState:
    view = state.view
    own = view.cfg.get(settings.NAME)
    data_centre = view.cfg.get(settings.DATA_CENTRE)
    listed = view.registrations.value
    live_peers = view.peers.value
    return startup.StartupState(
        first_answer_at=state.first_answer_at,
        best_generation=state.best_offer.head.generation if state.best_offer else 0,
        is_platform_read=state.is_head_read and listed is not None,
        registered_entries=frozenset(
            entry.name
            for entry in listed or []
            if entry.data_centre == data_centre and entry.name != own
        ),
        heard_entries=frozenset(entry.name for entry in live_peers),
        heard_generation=max((entry.generation for entry in live_peers), default=0),
    )


def _put_in_force(view: views.View, chosen: in_force.Configuration, source: str) -> None:
    current = view.configuration.value
    invariant.check(
        invariant.Number.CONFIGURATION,
        current is None or chosen.head.generation > current.head.generation,
        f"generation {chosen.head.generation} would replace an equal or newer one",
    )
    events.log(
        "config.in_force",
        generation=chosen.head.generation,
        preset=chosen.head.preset,
        by=source,
    )
    view.configuration.publish(chosen)


def _get_generation(state: _State) -> int:
    current = state.view.configuration.value
    return current.head.generation if current else 0


def is_watcher(view: views.View) -> bool:
    """Whether this entry is one of those that watch the platform for its data centre."""
    data_centre = view.cfg.get(settings.DATA_CENTRE)
    local = [
        peer.name
        for peer in view.peers.value
        if peer.data_centre == data_centre and not (peer.is_suspected or peer.is_leaving)
    ]
    return membership.is_watcher(view.cfg.get(settings.NAME), local)


async def _back_off(view: views.View, failures: int) -> None:
    await trio.sleep(backoff.compute_delay(failures, RETRY_SECONDS, MAX_RETRY_SECONDS, view.rng))
