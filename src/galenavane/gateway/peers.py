"""What an entry knows of the others."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.gateway import knowledge, peer_message

SILENT_SECONDS = 0.9
"""Without a message for several intervals, an entry counts as gone."""
FORGET_SECONDS = 30.0
"""An address that nobody was heard at for this long is no longer tried."""


@dataclasses.dataclass(slots=True)
class Peer:
    """Another entry.

    :ivar heard_at: boot time of its last message.
    :ivar known_at: boot time at which its address was last listed or heard.
    """

    name: str
    address: str
    known_at: float
    heard_at: float = float("-inf")
    pulse: peer_message.Pulse | None = None


def hear(
    known: dict[str, Peer], found: peer_message.Pulse, word: knowledge.Knowledge, now: float
) -> None:
    """Take in a regular message, and what it proves about the configuration in force."""
    peer = known.get(found.sender)
    if peer is None or peer.address != found.address:
        peer = known[found.sender] = Peer(found.sender, found.address, now)
    peer.known_at = now
    peer.heard_at = now
    peer.pulse = found
    if found.version == word.version and found.echoed_at > 0:
        # The sender wrote this after it had read what was sent here at ``echoed_at``.
        knowledge.confirm(word, found.echoed_at - found.confirmed_age)


def list_live(known: abc.Mapping[str, Peer], now: float) -> list[Peer]:
    """Return the entries that were heard lately."""
    return [
        one
        for one in known.values()
        if one.pulse is not None
        and not one.pulse.is_stopping
        and now - one.heard_at <= SILENT_SECONDS
    ]


def add_up_loads(known: abc.Mapping[str, Peer], now: float) -> dict[str, int]:
    """Return the requests that the other entries have at each head."""
    total: dict[str, int] = {}
    for one in list_live(known, now):
        for load in one.pulse.loads if one.pulse is not None else ():
            total[load.head] = total.get(load.head, 0) + load.in_flight
    return total


def forget(known: dict[str, Peer], now: float) -> list[str]:
    """Drop entries that were neither listed nor heard for long; return their names."""
    over = [name for name, one in known.items() if now - one.known_at > FORGET_SECONDS]
    for name in over:
        del known[name]
    return over
