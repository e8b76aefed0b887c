"""The task that exchanges messages with other entries."""

from __future__ import annotations

import msgspec
import trio

from galenavane.config import head as heads
from galenavane.config import in_force, sections, settings, settle
from galenavane.entry import view as views
from galenavane.observe import clock, events
from galenavane.peer import (
    action,
    delta_senders,
    membership,
    messages,
    shared_state,
    state_delta,
    target_reports,
    traffic,
)

TICK_SECONDS = 0.25
LOG_DROPPED_SECONDS = 10.0


class _State:
    """Membership, and what was told and heard of facts.

    :ivar told_by: start of the incarnation that told each peer's facts.
    """

    __slots__ = (
        "facts",
        "logged_at",
        "members",
        "received",
        "reports",
        "senders",
        "sent",
        "started_ms",
        "told_by",
        "view",
    )

    def __init__(self, view: views.View) -> None:
        self.view = view
        self.members = membership.State(
            view.cfg.get(settings.NAME),
            view.cfg.get(settings.DATA_CENTRE),
            str(view.cfg.get(settings.PEERS)),
            view.cfg.get(settings.SEEDS).split(),
        )
        self.senders = delta_senders.DeltaSenders()
        self.facts: dict[str, shared_state.PeerState] = {}
        self.told_by: dict[str, int] = {}
        self.started_ms = int(events.wall_seconds() * 1000)
        self.logged_at = float("-inf")
        self.sent = traffic.Traffic()
        self.received = traffic.Traffic()
        self.reports = traffic.Traffic()


async def run(view: views.View) -> None:
    """Exchange messages until cancelled."""
    state = _State(view)
    began = trio.current_time()
    try:
        async with trio.open_nursery() as nursery:
            for task in (_receive, _tick, _follow_registrations, _follow_configuration, _leave):
                nursery.start_soon(task, state)
    finally:
        view.transport.close()
        _log_totals(state, trio.current_time() - began)


def _log_totals(state: _State, seconds: float) -> None:
    events.log(
        "peer.totals",
        seconds=seconds,
        sent=state.sent.messages,
        sent_bytes=state.sent.message_bytes,
        received=state.received.messages,
        received_bytes=state.received.message_bytes,
        reports_received=state.reports.messages,
        reports_received_bytes=state.reports.message_bytes,
    )


async def _receive(state: _State) -> None:
    while True:
        data = await state.view.transport.receive()
        message = messages.decode(data)
        is_report = isinstance(message, target_reports.TargetReports)
        (state.reports if is_report else state.received).count(data)
        if message is None or not _take(state, message):
            _count_dropped(state, len(data))


def _take(state: _State, message: messages.Message) -> bool:
    """Take in a message; return whether it made sense."""
    now = trio.current_time()
    if isinstance(message, messages.Hello):
        events.receive(message.stamp)
        _carry_out(state, membership.handle_hello(state.members, message, now))
        _publish_members(state)
        return True
    if isinstance(message, messages.Heartbeat):
        return _take_beat(state, message, now)
    if isinstance(message, target_reports.TargetReports):
        return _pass_on(state, message)
    events.receive(message.stamp)
    if isinstance(message, messages.ConfigurationRequest):
        _send_configuration(state, message)
        return True
    return _take_configuration(state, message)


def _take_beat(state: _State, beat: messages.Heartbeat, now: float) -> bool:
    events.receive(str(clock.Stamp(beat.clock_ms, beat.clock_count)))
    _carry_out(state, membership.handle_heartbeat(state.members, beat, now))
    known = state.members.members.get(beat.name)
    if known is None or known.started_ms != beat.started_ms:
        return True
    is_restarted = state.told_by.get(beat.name) != beat.started_ms
    before = None if is_restarted else state.facts.get(beat.name)
    try:
        found = state_delta.apply(
            before.state if before else shared_state.SharedState(), beat.facts
        )
    except (msgspec.ValidationError, TypeError):
        return False
    state.told_by[beat.name] = beat.started_ms
    state.facts[beat.name] = shared_state.PeerState(beat.name, known.data_centre, now, found)
    state.view.peer_states.publish(dict(state.facts))
    return True


def _pass_on(state: _State, message: target_reports.TargetReports) -> bool:
    try:
        state.view.peer_reports_sender.send_nowait(message)
    except trio.WouldBlock:
        return False
    return True


def _take_configuration(state: _State, message: messages.Configuration) -> bool:
    head = settle.decode(message.head)
    if head.is_error():
        return False
    current = state.view.configuration.value
    if in_force.compare(current, head.ok) is not in_force.Relation.NEWER:
        return True
    known = in_force.known_sections(current)
    texts = {name: known.get(digest, "") for name, digest in head.ok.sections.items()}
    declared = sections.join(head.ok, {**texts, **message.sections})
    if declared.is_error():
        return False
    offered = state.view.offered_configuration.value
    found = in_force.InForce(head.ok, declared.ok)
    if in_force.choose(offered, found) is found:
        state.view.offered_configuration.publish(found)
    return True


def _count_dropped(state: _State, size_bytes: int) -> None:
    dropped = state.view.dropped_messages
    dropped.publish(dropped.value + 1)
    now = trio.current_time()
    if now >= state.logged_at + LOG_DROPPED_SECONDS:
        state.logged_at = now
        events.log("peer.dropped", size=size_bytes, total=dropped.value)


def _send_configuration(state: _State, want: messages.ConfigurationRequest) -> None:
    current = state.view.configuration.value
    if current is None or current.head.generation <= want.generation:
        return
    texts = in_force.known_sections(current)
    missing = {
        name: texts[digest]
        for name, digest in current.head.sections.items()
        if digest not in want.known
    }
    message = messages.Configuration(
        messages.PROTOCOL_VERSION, events.stamp(), heads.encode(current.head), missing
    )
    _send_all(state, [want.address], message)


async def _tick(state: _State) -> None:
    while True:
        now = trio.current_time()
        _carry_out(state, membership.tick(state.members, now, state.view.rng))
        _publish_members(state)
        await trio.sleep(TICK_SECONDS)


async def _follow_registrations(state: _State) -> None:
    while True:
        listed = state.view.registrations.value
        if listed is not None:
            membership.set_registered(state.members, listed)
        await state.view.registrations.wait_change()


async def _follow_configuration(state: _State) -> None:
    while True:
        current = state.view.configuration.value
        if current is not None:
            told = membership.set_generation(state.members, current.head.generation)
            _carry_out(state, told)
        await state.view.configuration.wait_change()


async def _leave(state: _State) -> None:
    while not state.view.leaving.value:
        await state.view.leaving.wait_change()
    _carry_out(state, membership.announce_leaving(state.members))


def _carry_out(state: _State, commands: list[action.Action]) -> None:
    for one in commands:
        if isinstance(one, action.SendHello):
            _send_all(state, one.addresses, _hello(state, one.wants_answer))
        elif isinstance(one, action.SendHeartbeat):
            _send_all(state, one.addresses, _beat(state, one.addresses))
        elif isinstance(one, action.RequestConfiguration):
            _send_all(state, [one.address], _want(state))
        else:
            events.log(one.event, peer=one.peer)


def _send_all(state: _State, told: list[str], message: messages.Message) -> None:
    data = messages.encode(message)
    for address in told:
        state.sent.count(data)
        state.view.transport.send(address, data)


def _hello(state: _State, wants_answer: bool) -> messages.Hello:
    own = state.members
    return messages.Hello(
        messages.PROTOCOL_VERSION,
        events.stamp(),
        own.name,
        state.view.incarnation,
        state.started_ms,
        own.data_centre,
        own.address,
        own.generation,
        own.is_leaving,
        wants_answer,
    )


def _beat(state: _State, told: list[str]) -> messages.Heartbeat:
    stamp = clock.parse(events.stamp()) or clock.Stamp(0, 0)
    return messages.Heartbeat(
        messages.PROTOCOL_VERSION,
        stamp.wall_ms,
        stamp.count,
        state.members.name,
        state.started_ms,
        state.members.generation,
        state.senders.next_delta(told, state.view.own_shared_state.value),
    )


def _want(state: _State) -> messages.ConfigurationRequest:
    current = state.view.configuration.value
    return messages.ConfigurationRequest(
        messages.PROTOCOL_VERSION,
        events.stamp(),
        state.members.address,
        state.members.generation,
        sorted(current.head.sections.values()) if current else [],
    )


def _publish_members(state: _State) -> None:
    """Publish the members that are heard, when anything of them changed."""
    live = membership.live_members(state.members, trio.current_time())
    if live != state.view.peers.value:
        state.view.peers.publish(live)
    names = {one.name for one in live}
    gone = [name for name in state.facts if name not in names]
    for name in gone:
        del state.facts[name]
        state.told_by.pop(name, None)
    if gone:
        state.view.peer_states.publish(dict(state.facts))
