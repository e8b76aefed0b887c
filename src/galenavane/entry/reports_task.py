"""Task that polls the reports of targets and shares them within the data centre."""

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

SHARE_DELAY_SECONDS = 0.1
RECHECK_DELAY_SECONDS = 0.2
MAX_SHARED_AGE_PERIODS = 1.4


class _State:
    """State of polling and sharing.

    :ivar polls_in_flight: names of instances that are being polled.
    :ivar polled: status from this entry's own last poll, by instance name.
    :ivar receive_states: state of receiving from each peer, by peer name.
    :ivar targets: instances to be polled by any entry of the data centre, by name.
    :ivar ranks: rank of this entry among those that may poll an instance, by instance name; the
        entry of rank 0 polls it.
    :ivar assigned_for: names of the entries and of the instances that ``ranks`` was computed for.
    """

    __slots__ = (
        "assigned_for",
        "nursery",
        "polled",
        "polls_in_flight",
        "ranks",
        "receive_states",
        "send_state",
        "targets",
        "view",
    )

    def __init__(self, view: views.View, nursery: trio.Nursery) -> None:
        self.view = view
        self.nursery = nursery
        self.polls_in_flight: set[str] = set()
        self.polled: dict[str, instance_status.InstanceStatus] = {}
        self.send_state = report_sharing.SendState(int(events.wall_seconds() * 1000))
        self.receive_states: dict[str, report_sharing.ReceiveState] = {}
        self.targets: dict[str, instance.Instance] = {}
        self.ranks: dict[str, int] = {}
        self.assigned_for: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())


async def run(view: views.View) -> None:
    """Poll and share reports until cancelled."""
    async with trio.open_nursery() as nursery:
        state = _State(view, nursery)
        nursery.start_soon(_receive_reports, state)
        while True:
            await _run_period(state)


async def _run_period(state: _State) -> None:
    """Poll the targets assigned to this entry, share their reports, then poll stale ones."""
    period = state.view.cfg.get(settings.REPORT_EVERY) * state.view.rng.uniform(0.9, 1.1)
    end_at = trio.current_time() + period
    _assign_targets(state)
    _poll_all(state, [name for name, rank in state.ranks.items() if rank == 0])
    await trio.sleep(SHARE_DELAY_SECONDS)
    _share_reports(state)
    _publish_and_poll_stale(state)
    await trio.sleep(RECHECK_DELAY_SECONDS)
    _publish_and_poll_stale(state)
    await trio.sleep_until(end_at)


def _publish_and_poll_stale(state: _State) -> None:
    """Publish the newest statuses, and poll targets whose reports are stale."""
    merged = {name: _find_newest_status(state, target) for name, target in state.targets.items()}
    state.view.instance_statuses.publish(merged)
    now = trio.current_time()
    stale = [
        name
        for name, newest in merged.items()
        if poll_assignment.is_stale(state.ranks[name], now - newest.reported_at)
    ]
    _poll_all(state, stale)


def _choose_targets(view: views.View) -> dict[str, instance.Instance]:
    engines = {
        engine.name: engine
        for engine in view.instances.value
        if engine.kind is instance.Kind.ENGINE
    }
    data_centres = {name: engine.data_centre for name, engine in engines.items()}
    chosen = poll_assignment.choose_targets(view.cfg.get(settings.DATA_CENTRE), data_centres)
    return {name: engines[name] for name in chosen}


def _assign_targets(state: _State) -> None:
    """Recompute which entry polls which target when entries or instances have changed."""
    state.targets = _choose_targets(state.view)
    entries = frozenset(peer.name for peer in _list_local_peers(state.view))
    key = (entries, frozenset(state.targets))
    if key == state.assigned_for:
        return
    state.assigned_for = key
    own = state.view.cfg.get(settings.NAME)
    state.ranks = poll_assignment.compute_own_ranks(own, entries, state.targets)
    state.polled = {name: status for name, status in state.polled.items() if name in state.targets}


def _poll_all(state: _State, names: abc.Iterable[str]) -> None:
    for name in names:
        if name not in state.polls_in_flight:
            state.polls_in_flight.add(name)
            state.nursery.start_soon(_poll, state, state.targets[name])


async def _poll(state: _State, target: instance.Instance) -> None:
    sent_at = trio.current_time()
    try:
        response = await state.view.targets.fetch_report(target.address)
        if response.is_ok():
            state.polled[target.name] = instance_status.InstanceStatus(target, response.ok, sent_at)
    finally:
        state.polls_in_flight.discard(target.name)


def _find_newest_status(state: _State, target: instance.Instance) -> instance_status.InstanceStatus:
    """Return the status with the newest report of an instance, polled or shared.

    A report from an entry that has stopped is kept, since its successor needs a while to poll.
    """
    newest = instance_status.InstanceStatus(target, None, -math.inf)
    before = state.view.instance_statuses.value.get(target.name)
    if before is not None:
        newest = instance_status.InstanceStatus(target, before.report, before.reported_at)
    own = state.polled.get(target.name)
    if own is not None and own.reported_at > newest.reported_at:
        newest = instance_status.InstanceStatus(target, own.report, own.reported_at)
    for receive_state in state.receive_states.values():
        shared = receive_state.reports.get(target.name)
        if shared is not None and receive_state.confirmed_at > newest.reported_at:
            newest = instance_status.InstanceStatus(target, shared, receive_state.confirmed_at)
    return newest


def _share_reports(state: _State) -> None:
    """Send the recent reports of this entry's targets to its peers in the data centre."""
    now = trio.current_time()
    peers = _list_local_peers(state.view)
    names = {peer.name for peer in peers}
    state.receive_states = {
        name: receive_state for name, receive_state in state.receive_states.items() if name in names
    }
    period = state.view.cfg.get(settings.REPORT_EVERY)
    fresh = [
        polled
        for name, polled in state.polled.items()
        if state.ranks.get(name) == 0 and now - polled.reported_at < period * MAX_SHARED_AGE_PERIODS
    ]
    confirmed = {
        polled.instance.name: polled.report for polled in fresh if polled.report is not None
    }
    oldest_at = min((polled.reported_at for polled in fresh), default=now)
    changes = report_sharing.compute_changes(state.send_state, confirmed, oldest_at, now)
    for peer in peers:
        _send_reports(state, peer, changes)


def _send_reports(
    state: _State, peer: members.Member, changes: report_sharing.ReportChanges
) -> None:
    receive_state = state.receive_states.get(peer.name)
    message = target_reports.TargetReports(
        protocol=messages.PROTOCOL_VERSION,
        name=state.view.cfg.get(settings.NAME),
        started_ms=state.send_state.started_ms,
        number=changes.number,
        echo=receive_state.number if receive_state else 0,
        echo_started_ms=receive_state.started_ms if receive_state else 0,
        wants_full=receive_state is None or not receive_state.is_complete,
        age_ms=changes.age_ms,
        is_full=changes.is_full,
        rows=changes.rows,
        loads=changes.loads,
        gone=changes.gone,
    )
    state.view.transport.send(peer.address, messages.encode(message))


async def _receive_reports(state: _State) -> None:
    async for message in state.view.peer_reports_receiver:
        receive_state = state.receive_states.get(message.name)
        if receive_state is None or message.started_ms > receive_state.started_ms:
            receive_state = report_sharing.ReceiveState(message.started_ms)
            state.receive_states[message.name] = receive_state
        report_sharing.apply_message(receive_state, message, state.send_state)


def _list_local_peers(view: views.View) -> list[members.Member]:
    """Return the other live entries of the data centre that are not suspected or stopping."""
    own = view.cfg.get(settings.DATA_CENTRE)
    return [
        peer
        for peer in view.peers.value
        if peer.data_centre == own
        and peer.started_ms
        and not peer.is_leaving
        and not peer.is_suspected
    ]
