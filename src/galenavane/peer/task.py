"""The task that exchanges messages with other entries."""

from __future__ import annotations

import dataclasses

import msgspec
import trio

from galenavane.config import canonical, in_force, settings
from galenavane.config import head as heads
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.peer import members, messages
from galenavane.platform import instance

HEARTBEAT_SECONDS = 0.5
SILENCE_SECONDS = 3.0


class _State:
    __slots__ = ("dropped", "known", "view")

    def __init__(self, view: views.View) -> None:
        self.view = view
        self.known: dict[str, members.Member] = {}
        self.dropped = 0


async def run(view: views.View) -> None:
    """Exchange messages until cancelled."""
    state = _State(view)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_receive, state)
            nursery.start_soon(_beat, state)
    finally:
        view.transport.close()


async def _receive(state: _State) -> None:
    while True:
        data = await state.view.transport.receive()
        message = messages.decode(data)
        if message is None:
            state.dropped += 1
            events.log("peer.dropped", size=len(data))
        elif isinstance(message, messages.Heartbeat):
            _hear(state, message)
        else:
            _take_configuration(state, message)


def _hear(state: _State, beat: messages.Heartbeat) -> None:
    events.receive(beat.stamp)
    if beat.name not in state.known:
        events.log("peer.heard", peer=beat.name, peer_data_centre=beat.data_centre)
    state.known[beat.name] = members.Member(
        beat.name,
        beat.incarnation,
        beat.data_centre,
        beat.address,
        trio.current_time(),
        beat.generation,
        beat.leaving,
    )
    current = state.view.configuration.value
    if current is not None and beat.generation < current.head.generation:
        _send_configuration(state, beat.address, current)


def _take_configuration(state: _State, message: messages.Configuration) -> None:
    events.receive(message.stamp)
    try:
        head = heads.decode(message.head)
        declared = canonical.join(message.sections)
    except msgspec.DecodeError:
        state.dropped += 1
        return
    current = state.view.configuration.value
    chosen = in_force.choose(current, in_force.InForce(head, declared))
    if chosen is not current:
        events.log("config.in_force", generation=head.generation, preset=head.preset, by="peer")
        state.view.configuration.publish(chosen)


def _send_configuration(state: _State, address: str, current: in_force.InForce) -> None:
    sections = canonical.split(current.declared)
    message = messages.Configuration(
        messages.PROTOCOL_VERSION, events.stamp(), heads.encode(current.head), sections
    )
    state.view.transport.send(address, messages.encode(message))


async def _beat(state: _State) -> None:
    while True:
        for address in _addresses(state):
            state.view.transport.send(address, messages.encode(_heartbeat(state.view)))
        _publish(state)
        with trio.move_on_after(HEARTBEAT_SECONDS):
            await state.view.leaving.wait_change()


def _publish(state: _State) -> None:
    now = trio.current_time()
    for name, one in list(state.known.items()):
        if now - one.heard_at > SILENCE_SECONDS:
            events.log("peer.silent", peer=name)
            del state.known[name]
    state.view.peers.publish([dataclasses.replace(one) for one in state.known.values()])


def _heartbeat(view: views.View) -> messages.Heartbeat:
    current = view.configuration.value
    return messages.Heartbeat(
        messages.PROTOCOL_VERSION,
        events.stamp(),
        view.cfg.get(settings.NAME),
        view.incarnation,
        view.cfg.get(settings.DATA_CENTRE),
        str(view.cfg.get(settings.PEERS)),
        current.head.generation if current else 0,
        view.leaving.value,
    )


def _addresses(state: _State) -> list[str]:
    own = str(state.view.cfg.get(settings.PEERS))
    listed = [
        one.address
        for one in state.view.instances.value
        if one.kind is instance.Kind.ENTRY and one.state is instance.State.LIVE
    ]
    heard = [one.address for one in state.known.values()]
    return sorted({*listed, *heard} - {own})
