"""The task that asks targets for their reports and shares them within the data centre."""

from __future__ import annotations

import math
from collections import abc

import trio

from galenavane.config import settings
from galenavane.control import instance_status, poll_assignment
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.peer import members, messages, report_sharing, target_reports
from galenavane.store import instance

SHARE_AFTER_SECONDS = 0.1
REVIEW_AFTER_SECONDS = 0.2
MAX_SHARED_PERIODS = 1.4


class _State:
    """What this entry has asked itself, and what its peers told.

    :ivar asking: instances that are being asked.
    :ivar polled: own sightings by instance name.
    :ivar places: rank of this entry for each instance, for the entries and instances in ``key``.
    """

    __slots__ = ("asking", "boxes", "key", "nursery", "out", "places", "polled", "targets", "view")

    def __init__(self, view: views.View, nursery: trio.Nursery) -> None:
        self.view = view
        self.nursery = nursery
        self.asking: set[str] = set()
        self.polled: dict[str, instance_status.InstanceStatus] = {}
        self.out = report_sharing.SendState(int(events.wall_seconds() * 1000))
        self.boxes: dict[str, report_sharing.ReceiveState] = {}
        self.targets: dict[str, instance.Instance] = {}
        self.places: dict[str, int] = {}
        self.key: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())


async def run(view: views.View) -> None:
    """Ask and share until cancelled."""
    async with trio.open_nursery() as nursery:
        state = _State(view, nursery)
        nursery.start_soon(_hear, state)
        while True:
            await _run_period(state)


async def _run_period(state: _State) -> None:
    """Ask the own targets, share their reports, and ask those that nobody told of."""
    period = state.view.cfg.get(settings.REPORT_EVERY) * state.view.rng.uniform(0.9, 1.1)
    end_at = trio.current_time() + period
    _place(state)
    _ask_all(state, [name for name, rank in state.places.items() if rank == 0])
    await trio.sleep(SHARE_AFTER_SECONDS)
    _share(state)
    _review(state)
    await trio.sleep(REVIEW_AFTER_SECONDS)
    _review(state)
    await trio.sleep_until(end_at)


def _review(state: _State) -> None:
    """Publish what is known, and ask targets whose reports have grown old."""
    merged = {name: _merge(state, one) for name, one in state.targets.items()}
    state.view.target_reports.publish(merged)
    now = trio.current_time()
    stale = [
        name
        for name, one in merged.items()
        if poll_assignment.is_stale(state.places[name], now - one.reported_at)
    ]
    _ask_all(state, stale)


def _targets(view: views.View) -> dict[str, instance.Instance]:
    engines = {one.name: one for one in view.instances.value if one.kind is instance.Kind.ENGINE}
    places = {name: one.data_centre for name, one in engines.items()}
    chosen = poll_assignment.choose_targets(view.cfg.get(settings.DATA_CENTRE), places)
    return {name: engines[name] for name in chosen}


def _place(state: _State) -> None:
    """Work out anew who asks whom when entries or instances have changed."""
    state.targets = _targets(state.view)
    entries = frozenset(one.name for one in _colleagues(state.view))
    key = (entries, frozenset(state.targets))
    if key == state.key:
        return
    state.key = key
    own = state.view.cfg.get(settings.NAME)
    state.places = poll_assignment.compute_own_ranks(own, entries, state.targets)
    state.polled = {name: one for name, one in state.polled.items() if name in state.targets}


def _ask_all(state: _State, names: abc.Iterable[str]) -> None:
    for name in names:
        if name not in state.asking:
            state.asking.add(name)
            state.nursery.start_soon(_ask, state, state.targets[name])


async def _ask(state: _State, one: instance.Instance) -> None:
    sent_at = trio.current_time()
    try:
        answer = await state.view.targets.fetch_report(one.address)
        if answer.is_ok():
            state.polled[one.name] = instance_status.InstanceStatus(one, answer.ok, sent_at)
    finally:
        state.asking.discard(one.name)


def _merge(state: _State, one: instance.Instance) -> instance_status.InstanceStatus:
    """Return the newest report of an instance, asked or told.

    What an entry told stays known when it stops, since the next one to ask needs a while.
    """
    newest = instance_status.InstanceStatus(one, None, -math.inf)
    before = state.view.target_reports.value.get(one.name)
    if before is not None:
        newest = instance_status.InstanceStatus(one, before.report, before.reported_at)
    own = state.polled.get(one.name)
    if own is not None and own.reported_at > newest.reported_at:
        newest = instance_status.InstanceStatus(one, own.report, own.reported_at)
    for box in state.boxes.values():
        told = box.reports.get(one.name)
        if told is not None and box.confirmed_at > newest.reported_at:
            newest = instance_status.InstanceStatus(one, told, box.confirmed_at)
    return newest


def _share(state: _State) -> None:
    """Tell the other entries of the data centre what the own targets reported."""
    now = trio.current_time()
    colleagues = _colleagues(state.view)
    names = {one.name for one in colleagues}
    state.boxes = {name: box for name, box in state.boxes.items() if name in names}
    period = state.view.cfg.get(settings.REPORT_EVERY)
    fresh = [
        one
        for name, one in state.polled.items()
        if state.places.get(name) == 0 and now - one.reported_at < period * MAX_SHARED_PERIODS
    ]
    confirmed = {one.instance.name: one.report for one in fresh if one.report is not None}
    oldest_at = min((one.reported_at for one in fresh), default=now)
    changes = report_sharing.next_changes(state.out, confirmed, oldest_at, now)
    for colleague in colleagues:
        _send(state, colleague, changes)


def _send(state: _State, colleague: members.Member, changes: report_sharing.ReportChanges) -> None:
    box = state.boxes.get(colleague.name)
    message = target_reports.TargetReports(
        protocol=messages.PROTOCOL_VERSION,
        name=state.view.cfg.get(settings.NAME),
        started_ms=state.out.started_ms,
        number=changes.number,
        echo=box.number if box else 0,
        echo_started_ms=box.started_ms if box else 0,
        wants_full=box is None or not box.is_complete,
        age_ms=changes.age_ms,
        is_full=changes.is_full,
        rows=changes.rows,
        loads=changes.loads,
        gone=changes.gone,
    )
    state.view.transport.send(colleague.address, messages.encode(message))


async def _hear(state: _State) -> None:
    async for message in state.view.peer_reports_receiver:
        box = state.boxes.get(message.name)
        if box is None or message.started_ms > box.started_ms:
            box = report_sharing.ReceiveState(message.started_ms)
            state.boxes[message.name] = box
        report_sharing.apply_message(box, message, state.out)


def _colleagues(view: views.View) -> list[members.Member]:
    """Return the other entries of the data centre that are heard and not stopping."""
    own = view.cfg.get(settings.DATA_CENTRE)
    return [
        one
        for one in view.peers.value
        if one.data_centre == own and one.started_ms and not one.is_leaving and not one.is_suspected
    ]
