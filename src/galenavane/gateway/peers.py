"""Tracks the other entries, and chooses which of them act as relays.

In each data centre a few entries are relays: they add up loads, and send updates and loads to the
other entries of their data centre and to the relays of other data centres. One relay watches the
store for all. Thus neither calls of the store nor messages grow with the square of the number of
entries. All entries choose the relays by the same order of names, and an entry that hears from none
of them watches the store itself.
"""

from __future__ import annotations

import dataclasses
import zlib
from collections import abc

from galenavane.gateway import config_state, peer_message

RELAYS_PER_DATA_CENTRE = 2
"""The second relay is already in place when the first one stops."""
PEER_TIMEOUT_SECONDS = 0.9
"""By then, several heartbeats are missing."""
STANDBY_HEARTBEAT_SECONDS = 0.3
"""Shortest interval between heartbeats that carry no loads; several fit in the timeout."""
RETRY_SECONDS = 5.0
"""Delay after which an entry that did not answer is tried again."""
SILENT_SECONDS = 30.0
"""An entry that its data centre's first relay has not heard from for this long is gone: all
entries of the data centre send heartbeats to that relay."""
FORGET_SECONDS = 60.0
"""An entry that was neither listed nor heard from for this long is dropped."""
FORGET_LISTINGS = 3.0
"""It is dropped only if it was missing for this many listings too, one of which may have failed."""
LEAD_STORE_AGE_SECONDS = 1.0
"""A relay that watches hears from the store twice a second, unless the store is slow."""


@dataclasses.dataclass(slots=True)
class Peer:
    """Another entry; times are ``boot_clock`` times in seconds.

    :ivar bandwidth: of its own link, in Mbit/s.
    :ivar last_known_at: when its address was last listed or received in a heartbeat.
    :ivar last_message_at: when its last heartbeat arrived.
    :ivar unanswered_since: when the first message since its last heartbeat was sent to it, ``None``
        for none.
    :ivar subscribed_at: when it last asked this entry to relay updates.
    :ivar heartbeat_sent_at: when the last heartbeat was sent to it.
    :ivar heartbeat: its last heartbeat.
    :ivar relay_rank: sort key for the choice of relays.
    """

    name: str
    address: str
    data_centre: str
    bandwidth: float
    last_known_at: float
    last_message_at: float = float("-inf")
    unanswered_since: float | None = None
    subscribed_at: float = float("-inf")
    heartbeat_sent_at: float = float("-inf")
    heartbeat: peer_message.Heartbeat | None = None
    relay_rank: tuple[float, int, str] = (0.0, 0, "")


def make_peer(name: str, address: str, data_centre: str, bandwidth: float, now: float) -> Peer:
    """Return an entry that was just listed or heard from for the first time."""
    peer = Peer(name, address, data_centre, bandwidth, now)
    peer.relay_rank = _relay_rank(name, bandwidth)
    return peer


def is_alive(peer: Peer, now: float) -> bool:
    """Whether an entry sent a heartbeat recently and is not stopping."""
    is_stopping = peer.heartbeat is not None and peer.heartbeat.is_stopping
    return now - peer.last_message_at <= PEER_TIMEOUT_SECONDS and not is_stopping


def note_sent(peer: Peer, now: float) -> None:
    """Record that an entry is sent a message that it should answer."""
    if peer.unanswered_since is None or now - peer.unanswered_since > RETRY_SECONDS:
        peer.unanswered_since = now


def is_heartbeat_due(
    peer: Peer, own_name: str, data_centre: str, local_relays: abc.Sequence[str], now: float
) -> bool:
    """Whether to send a heartbeat now.

    Loads go through the first relay of a data centre. The second one only has to be known to be
    alive, so messages to and from it are rarer.

    :param own_name: name of this entry.
    :param data_centre: data centre of this entry.
    :param local_relays: relays of this data centre, first choice first.
    """
    carries_loads = (
        peer.data_centre != data_centre
        or not local_relays
        or local_relays[0] in (peer.name, own_name)
    )
    return carries_loads or now - peer.heartbeat_sent_at >= STANDBY_HEARTBEAT_SECONDS


def _may_be_relay(peer: Peer, now: float) -> bool:
    """Whether an entry is alive, or may still answer, so that it can be chosen as a relay."""
    if peer.heartbeat is not None and peer.heartbeat.is_stopping:
        return False
    if is_alive(peer, now):
        return True
    return peer.unanswered_since is None or now - peer.unanswered_since <= PEER_TIMEOUT_SECONDS


def choose_relays(
    peers: abc.Mapping[str, Peer],
    data_centre: str,
    now: float,
    own_name: str = "",
    bandwidth: float = 0.0,
) -> list[str]:
    """Return the names of the relays of a data centre, first choice first.

    :param own_name: name of this entry if it belongs to the data centre, else empty.
    :param bandwidth: of this entry's own link, in Mbit/s.
    """
    ranks = [
        peer.relay_rank
        for peer in peers.values()
        if peer.data_centre == data_centre and _may_be_relay(peer, now)
    ]
    if own_name:
        ranks.append(_relay_rank(own_name, bandwidth))
    return [name for _, _, name in sorted(ranks)[:RELAYS_PER_DATA_CENTRE]]


def _relay_rank(name: str, bandwidth: float) -> tuple[float, int, str]:
    """Return the sort key of a relay: wide links first, and else an order spread over names."""
    return -bandwidth, zlib.crc32(name.encode()), name


def find_subscribers(peers: abc.Mapping[str, Peer], now: float) -> list[Peer]:
    """Return the entries that recently asked this entry to relay updates to them."""
    return [peer for peer in peers.values() if now - peer.subscribed_at <= PEER_TIMEOUT_SECONDS]


def handle_heartbeat(
    peers: dict[str, Peer],
    heartbeat: peer_message.Heartbeat,
    known_config: config_state.ConfigState,
    now: float,
) -> Peer:
    """Record a heartbeat, and what it confirms about the configuration in force.

    :returns: the sender.
    """
    peer = peers.get(heartbeat.sender)
    if peer is None or peer.address != heartbeat.address:
        peer = make_peer(
            heartbeat.sender, heartbeat.address, heartbeat.data_centre, heartbeat.bandwidth, now
        )
        peers[heartbeat.sender] = peer
    peer.last_known_at = now
    peer.last_message_at = now
    peer.unanswered_since = None
    peer.heartbeat = heartbeat
    if heartbeat.wants_relay:
        peer.subscribed_at = now
    known_config.store_answered_at = max(known_config.store_answered_at, now - heartbeat.store_age)
    if heartbeat.version == known_config.version and heartbeat.echoed_at > 0:
        # The sender sent this after receiving the heartbeat sent from here at ``echoed_at``.
        config_state.confirm(known_config, heartbeat.echoed_at - heartbeat.confirmed_age)
    return peer


def sum_loads(parts: abc.Iterable[abc.Iterable[peer_message.HeadLoad]]) -> dict[str, int]:
    """Return the total number of requests by head."""
    total: dict[str, int] = {}
    for part in parts:
        for load in part:
            total[load.head] = total.get(load.head, 0) + load.in_flight
    return total


def sum_local_loads(
    peers: abc.Mapping[str, Peer], data_centre: str, own_loads: abc.Mapping[str, int], now: float
) -> dict[str, int]:
    """Return the loads of a data centre, as reported by this entry's subscribers in it."""
    reported = [
        peer.heartbeat.loads
        for peer in find_subscribers(peers, now)
        if peer.heartbeat is not None and peer.data_centre == data_centre
    ]
    total = sum_loads(reported)
    for head_id, in_flight in own_loads.items():
        total[head_id] = total.get(head_id, 0) + in_flight
    return total


def sum_all_loads(
    peers: abc.Mapping[str, Peer], data_centre: str, local_loads: abc.Mapping[str, int], now: float
) -> dict[str, int]:
    """Return the loads of all data centres, the others as reported by their first live relay."""
    total = dict(local_loads)
    for other_data_centre in {peer.data_centre for peer in peers.values()} - {data_centre}:
        for name in choose_relays(peers, other_data_centre, now):
            heartbeat = peers[name].heartbeat
            if heartbeat is None or not is_alive(peers[name], now):
                continue
            for load in heartbeat.local_loads:
                total[load.head] = total.get(load.head, 0) + load.in_flight
            break
    return total


def has_leading_relay(peers: abc.Mapping[str, Peer], data_centre: str, now: float) -> bool:
    """Whether the first relay of an earlier data centre watches the store for all.

    One entry of the whole deployment watches the store: the first relay of the data centre whose
    name comes first. The first relays of the others take its place, in the order of their names,
    as soon as the store no longer answers it.

    :param data_centre: data centre of this entry.
    """
    earlier = {peer.data_centre for peer in peers.values() if peer.data_centre < data_centre}
    for other_data_centre in earlier:
        for name in choose_relays(peers, other_data_centre, now)[:1]:
            heartbeat = peers[name].heartbeat
            if (
                heartbeat is not None
                and is_alive(peers[name], now)
                and heartbeat.own_store_age <= LEAD_STORE_AGE_SECONDS
            ):
                return True
    return False


def find_silent(
    peers: abc.Mapping[str, Peer], data_centre: str, first_relay_since: float, now: float
) -> list[str]:
    """Return the entries of this data centre that its first relay has not heard from for long.

    :param first_relay_since: since when this entry has been the first relay.
    """
    if now - first_relay_since < SILENT_SECONDS:
        return []
    return [
        name
        for name, peer in peers.items()
        if peer.data_centre == data_centre and now - peer.last_message_at > SILENT_SECONDS
    ]


def find_expired(peers: abc.Mapping[str, Peer], listing_seconds: float, now: float) -> list[str]:
    """Return the entries that were neither listed nor heard from for long.

    :param listing_seconds: interval at which the entries' list is read.
    """
    forget_seconds = max(FORGET_SECONDS, FORGET_LISTINGS * listing_seconds)
    return [name for name, peer in peers.items() if now - peer.last_known_at > forget_seconds]
