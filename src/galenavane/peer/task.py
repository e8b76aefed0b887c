"""The task that exchanges messages with other entries."""

from __future__ import annotations

import msgspec
import trio

from galenavane.config import head as heads
from galenavane.config import head_store, in_force, sections, settings
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
DROPPED_LOG_SECONDS = 10.0


class _State:
    """Membership, shared state and traffic totals of the peer task.

    :ivar peer_states: last state of each peer, by peer name.
    :ivar peer_started_ms: start of the incarnation that sent the state, in milliseconds by peer
        name.
    :ivar started_ms: wall clock at the start of this entry, in milliseconds.
    :ivar dropped_logged_at: monotonic time at which dropped messages were last logged.
    :ivar received: received messages other than target reports.
    """

    __slots__ = (
        "delta_senders",
        "dropped_logged_at",
        "membership",
        "peer_started_ms",
        "peer_states",
        "received",
        "received_reports",
        "sent",
        "started_ms",
        "view",
    )

    def __init__(self, view: views.View) -> None:
        self.view = view
        self.membership = membership.State(
            view.cfg.get(settings.NAME),
            view.cfg.get(settings.DATA_CENTRE),
            str(view.cfg.get(settings.PEERS)),
            view.cfg.get(settings.SEEDS).split(),
        )
        self.delta_senders = delta_senders.DeltaSenders()
        self.peer_states: dict[str, shared_state.PeerState] = {}
        self.peer_started_ms: dict[str, int] = {}
        self.started_ms = int(events.wall_seconds() * 1000)
        self.dropped_logged_at = float("-inf")
        self.sent = traffic.Traffic()
        self.received = traffic.Traffic()
        self.received_reports = traffic.Traffic()


async def run(view: views.View) -> None:
    """Exchange messages with peers until cancelled."""
    state = _State(view)
    began = trio.current_time()
    try:
        async with trio.open_nursery() as nursery:
            for task in (
                _receive,
                _tick,
                _follow_registrations,
                _follow_configuration,
                _announce_leaving,
            ):
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
        reports_received=state.received_reports.messages,
        reports_received_bytes=state.received_reports.message_bytes,
    )


async def _receive(state: _State) -> None:
    while True:
        data = await state.view.transport.receive()
        message = messages.decode(data)
        is_report = isinstance(message, target_reports.TargetReports)
        (state.received_reports if is_report else state.received).count(data)
        if message is None or not _handle(state, message):
            _count_dropped(state, len(data))


def _handle(state: _State, message: messages.Message) -> bool:
    """Handle a message; return ``False`` when it has to be dropped."""
    now = trio.current_time()
    if isinstance(message, messages.Hello):
        events.receive_stamp(message.stamp)
        _perform(state, membership.handle_hello(state.membership, message, now))
        _publish_members(state)
        return True
    if isinstance(message, messages.Heartbeat):
        return _handle_heartbeat(state, message, now)
    if isinstance(message, target_reports.TargetReports):
        return _forward_reports(state, message)
    events.receive_stamp(message.stamp)
    if isinstance(message, messages.ConfigurationRequest):
        _send_configuration(state, message)
        return True
    return _handle_configuration(state, message)


def _handle_heartbeat(state: _State, heartbeat: messages.Heartbeat, now: float) -> bool:
    events.receive_stamp(str(clock.Stamp(heartbeat.clock_ms, heartbeat.clock_count)))
    _perform(state, membership.handle_heartbeat(state.membership, heartbeat, now))
    known = state.membership.members.get(heartbeat.name)
    if known is None or known.started_ms != heartbeat.started_ms:
        return True
    is_restarted = state.peer_started_ms.get(heartbeat.name) != heartbeat.started_ms
    before = None if is_restarted else state.peer_states.get(heartbeat.name)
    try:
        merged = state_delta.apply(
            before.state if before else shared_state.SharedState(), heartbeat.state_delta
        )
    except (msgspec.ValidationError, TypeError):
        return False
    state.peer_started_ms[heartbeat.name] = heartbeat.started_ms
    state.peer_states[heartbeat.name] = shared_state.PeerState(
        heartbeat.name, known.data_centre, now, merged
    )
    state.view.peer_states.publish(dict(state.peer_states))
    return True


def _forward_reports(state: _State, message: target_reports.TargetReports) -> bool:
    try:
        state.view.peer_reports_sender.send_nowait(message)
    except trio.WouldBlock:
        return False
    return True


def _handle_configuration(state: _State, message: messages.Configuration) -> bool:
    head = head_store.decode_head(message.head)
    if head.is_error():
        return False
    current = state.view.configuration.value
    if in_force.compare(current, head.ok) is not in_force.Relation.NEWER:
        return True
    known = in_force.index_section_texts(current)
    texts = {name: known.get(digest, "") for name, digest in head.ok.sections.items()}
    declared = sections.build_declarations(head.ok, {**texts, **message.sections})
    if declared.is_error():
        return False
    offered = state.view.offered_configuration.value
    received = in_force.Configuration(head.ok, declared.ok)
    if in_force.choose_newest(offered, received) is received:
        state.view.offered_configuration.publish(received)
    return True


def _count_dropped(state: _State, size_bytes: int) -> None:
    dropped = state.view.dropped_messages
    dropped.publish(dropped.value + 1)
    now = trio.current_time()
    if now >= state.dropped_logged_at + DROPPED_LOG_SECONDS:
        state.dropped_logged_at = now
        events.log("peer.dropped", size=size_bytes, total=dropped.value)


def _send_configuration(state: _State, request: messages.ConfigurationRequest) -> None:
    current = state.view.configuration.value
    if current is None or current.head.generation <= request.generation:
        return
    texts = in_force.index_section_texts(current)
    missing = {
        name: texts[digest]
        for name, digest in current.head.sections.items()
        if digest not in request.known
    }
    message = messages.Configuration(
        messages.PROTOCOL_VERSION, events.make_stamp(), heads.encode(current.head), missing
    )
    _send_all(state, [request.address], message)


async def _tick(state: _State) -> None:
    while True:
        now = trio.current_time()
        _perform(state, membership.tick(state.membership, now, state.view.rng))
        _publish_members(state)
        await trio.sleep(TICK_SECONDS)


async def _follow_registrations(state: _State) -> None:
    while True:
        listed = state.view.registrations.value
        if listed is not None:
            membership.set_registered(state.membership, listed)
        await state.view.registrations.wait_change()


async def _follow_configuration(state: _State) -> None:
    while True:
        current = state.view.configuration.value
        if current is not None:
            actions = membership.set_generation(state.membership, current.head.generation)
            _perform(state, actions)
        await state.view.configuration.wait_change()


async def _announce_leaving(state: _State) -> None:
    while not state.view.is_leaving.value:
        await state.view.is_leaving.wait_change()
    _perform(state, membership.announce_leaving(state.membership))


def _perform(state: _State, actions: list[action.Action]) -> None:
    for due in actions:
        if isinstance(due, action.SendHello):
            _send_all(state, due.addresses, _make_hello(state, due.wants_answer))
        elif isinstance(due, action.SendHeartbeat):
            _send_all(state, due.addresses, _make_heartbeat(state, due.addresses))
        elif isinstance(due, action.RequestConfiguration):
            _send_all(state, [due.address], _make_configuration_request(state))
        else:
            events.log(due.event, peer=due.peer)


def _send_all(state: _State, addresses: list[str], message: messages.Message) -> None:
    data = messages.encode(message)
    for address in addresses:
        state.sent.count(data)
        state.view.transport.send(address, data)


def _make_hello(state: _State, wants_answer: bool) -> messages.Hello:
    own = state.membership
    return messages.Hello(
        messages.PROTOCOL_VERSION,
        events.make_stamp(),
        own.name,
        state.view.incarnation,
        state.started_ms,
        own.data_centre,
        own.address,
        own.generation,
        own.is_leaving,
        wants_answer,
    )


def _make_heartbeat(state: _State, addresses: list[str]) -> messages.Heartbeat:
    stamp = clock.parse(events.make_stamp()) or clock.Stamp(0, 0)
    return messages.Heartbeat(
        messages.PROTOCOL_VERSION,
        stamp.wall_ms,
        stamp.count,
        state.membership.name,
        state.started_ms,
        state.membership.generation,
        state.delta_senders.next_delta(addresses, state.view.own_shared_state.value),
    )


def _make_configuration_request(state: _State) -> messages.ConfigurationRequest:
    current = state.view.configuration.value
    return messages.ConfigurationRequest(
        messages.PROTOCOL_VERSION,
        events.make_stamp(),
        state.membership.address,
        state.membership.generation,
        sorted(current.head.sections.values()) if current else [],
    )


def _publish_members(state: _State) -> None:
    """Publish the live members when they changed, and drop the state of all others."""
    live = membership.list_live_members(state.membership, trio.current_time())
    if live != state.view.peers.value:
        state.view.peers.publish(live)
    names = {member.name for member in live}
    gone = [name for name in state.peer_states if name not in names]
    for name in gone:
        del state.peer_states[name]
        state.peer_started_ms.pop(name, None)
    if gone:
        state.view.peer_states.publish(dict(state.peer_states))
