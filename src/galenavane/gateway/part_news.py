"""Gathers news about parts of prompts for a moment and sends them to other entries.

When many heads are lost at once, many entries report parts of their own. Passed on one by one,
their messages would grow with the square of the entries.
"""

from __future__ import annotations

import msgspec
import trio

from galenavane.gateway import boot_clock, peer_message, peer_updates, peers
from galenavane.gateway import state as states

GATHER_SECONDS = 0.05
"""Entries see the crash of one head within some milliseconds, and have to hear of it in seconds."""
MAX_ITEMS = 128
"""Items in one message."""


def queue_own(
    gw: states.Gateway, message: peer_message.SuspectParts | peer_message.ClearedParts
) -> None:
    """Let news of this entry be sent to its relays and subscribers."""
    _queue(gw, gw.part_news.for_all, message)


def queue_forward(
    gw: states.Gateway,
    message: peer_message.SuspectParts | peer_message.ClearedParts,
    sender_name: str,
) -> None:
    """Let what was news to this entry be passed on, if it is its data centre's first relay.

    News from another data centre goes to the subscribers in this one only.
    """
    if gw.choose_own_relays(boot_clock.now())[:1] != [gw.name]:
        return
    sender = gw.peers.get(sender_name)
    is_from_elsewhere = sender is not None and sender.data_centre != gw.data_centre
    _queue(gw, gw.part_news.for_near if is_from_elsewhere else gw.part_news.for_all, message)


def _queue(
    gw: states.Gateway,
    queue: states.PartNewsQueue,
    message: peer_message.SuspectParts | peer_message.ClearedParts,
) -> None:
    now = trio.current_time()
    if isinstance(message, peer_message.ClearedParts):
        queue.cleared.update({cleared.part: now - cleared.age for cleared in message.parts})
    else:
        queue.crashes += [(crash, now) for crash in message.crashes]
        queue.probes += [(probe, now) for probe in message.probes]
    gw.part_news.is_filled.set()


async def run(gw: states.Gateway) -> None:
    """Send what was queued: the first news at once, further ones gathered."""
    while True:
        await gw.part_news.is_filled.wait()
        gw.part_news.is_filled = trio.Event()
        now = boot_clock.now()
        subscribers = {peer.name: peer for peer in peers.find_subscribers(gw.peers, now)}
        near = {
            name: peer for name, peer in subscribers.items() if peer.data_centre == gw.data_centre
        }
        relay_names = peer_updates.choose_upstream_relays(gw, now)
        all_peers = subscribers | {name: gw.peers[name] for name in relay_names}
        _send(gw, gw.part_news.for_near, near)
        _send(gw, gw.part_news.for_all, all_peers)
        await trio.sleep(GATHER_SECONDS)


def _send(
    gw: states.Gateway, queue: states.PartNewsQueue, recipients: dict[str, peers.Peer]
) -> None:
    """Send the items of a queue, with their ages as of now, and empty it."""
    for message in _make_messages(gw.name, queue, trio.current_time()):
        data = peer_message.encode(message)
        for name in sorted(recipients):
            gw.transport.send(recipients[name].address, data)
    queue.crashes, queue.probes, queue.cleared = [], [], {}


def _make_messages(
    sender: str, queue: states.PartNewsQueue, now: float
) -> list[peer_message.SuspectParts | peer_message.ClearedParts]:
    crashes = [
        msgspec.structs.replace(crash, age=crash.age + now - queued_at)
        for crash, queued_at in queue.crashes
    ]
    probes = [
        msgspec.structs.replace(probe, age=probe.age + now - queued_at)
        for probe, queued_at in queue.probes
    ]
    messages: list[peer_message.SuspectParts | peer_message.ClearedParts] = []
    while crashes or probes:
        messages.append(peer_message.SuspectParts(sender, crashes[:MAX_ITEMS], probes[:MAX_ITEMS]))
        crashes, probes = crashes[MAX_ITEMS:], probes[MAX_ITEMS:]
    cleared = [
        peer_message.ClearedPart(part, now - succeeded_at)
        for part, succeeded_at in queue.cleared.items()
    ]
    for first in range(0, len(cleared), MAX_ITEMS):
        messages.append(peer_message.ClearedParts(sender, cleared[first : first + MAX_ITEMS]))
    return messages
