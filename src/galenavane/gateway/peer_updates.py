"""Sends configurations, target changes and stall reports to other entries through relays."""

from __future__ import annotations

from galenavane.gateway import boot_clock, peer_message, peers
from galenavane.gateway import state as states

REMOTE_RELAYS = 1
"""Relays used in each other data centre; traffic between data centres is paid for."""
MAX_STORE_AGE_SECONDS = 1.5
"""A relay that hears from the store twice a second, or from another relay that does, is current to
within a second; one whose last answer from the store is older is no help."""
RELAY_CHECK_SECONDS = 0.3
"""Interval at which an entry checks that a relay still watches the store on its behalf."""
RETRY_SECONDS = 0.15
"""Mean delay of a relay after a failed call; short, so that a store that is back is noticed at
once."""


def choose_upstream_relays(gw: states.Gateway, now: float) -> set[str]:
    """Return the names of the relays that this entry subscribes to."""
    local_relays = gw.choose_own_relays(now)
    relays = set(local_relays)
    other_data_centres = {peer.data_centre for peer in gw.peers.values()} - {gw.data_centre}
    if gw.name in local_relays or len(gw.peers) <= peers.RELAYS_PER_DATA_CENTRE * (
        1 + len(other_data_centres)
    ):
        for data_centre in other_data_centres:
            relays.update(peers.choose_relays(gw.peers, data_centre, now)[:REMOTE_RELAYS])
    return relays - {gw.name}


def is_watcher(gw: states.Gateway, now: float) -> bool:
    """Whether this entry watches the store itself, because no relay does so on its behalf."""
    for name in gw.choose_own_relays(now):
        if name == gw.name:
            return not peers.has_leading_relay(gw.peers, gw.data_centre, now)
        peer = gw.peers[name]
        is_fresh = peer.heartbeat is not None and peer.heartbeat.store_age <= MAX_STORE_AGE_SECONDS
        if peers.is_alive(peer, now) and is_fresh:
            return False
    return True


def choose_retry_seconds(gw: states.Gateway) -> float:
    """Return the mean delay after a failed call of the store.

    While the store is down, the relays look for its return. The other entries of a data centre
    call it together as often as one relay, in case that only the relays can't reach it.
    """
    now = boot_clock.now()
    relay_names = gw.choose_own_relays(now)
    if gw.name in relay_names or not any(
        peers.is_alive(gw.peers[name], now) for name in relay_names
    ):
        return RETRY_SECONDS
    near = sum(peer.data_centre == gw.data_centre for peer in gw.peers.values())
    return RETRY_SECONDS * max(1, near)


def forward_delta(gw: states.Gateway, delta: peer_message.TargetDelta) -> None:
    """Pass changes that came from another data centre on to the subscribers in this one."""
    now = boot_clock.now()
    sender = gw.peers.get(delta.sender)
    is_from_elsewhere = sender is not None and sender.data_centre != gw.data_centre
    if not is_from_elsewhere or gw.choose_own_relays(now)[:1] != [gw.name]:
        return
    near = [
        peer for peer in peers.find_subscribers(gw.peers, now) if peer.data_centre == gw.data_centre
    ]
    forwarded = peer_message.TargetDelta(
        gw.name, delta.from_revision, delta.to_revision, delta.changed, delta.gone
    )
    _send(gw, forwarded, near)


def send_config(gw: states.Gateway) -> None:
    """Send the configuration to this entry's subscribers."""
    update = peer_message.ConfigUpdate(gw.name, gw.config_state.raw)
    _send(gw, update, peers.find_subscribers(gw.peers, boot_clock.now()))


def send_delta(gw: states.Gateway, delta: peer_message.TargetDelta) -> None:
    """Send changes of the list of targets to this entry's subscribers."""
    _send(gw, delta, peers.find_subscribers(gw.peers, boot_clock.now()))


def send_leaving(gw: states.Gateway, target_id: str, incarnation: int) -> None:
    """Tell this entry's relays and subscribers, and through them the rest, that a target leaves."""
    _send_around(gw, peer_message.LeavingTarget(gw.name, target_id, incarnation))


def send_stall(gw: states.Gateway, report: peer_message.StallReport) -> None:
    """Send a stall report to this entry's relays and subscribers, which forward it to the rest."""
    _send_around(gw, report)


def _send_around(gw: states.Gateway, message: peer_message.Message) -> None:
    now = boot_clock.now()
    peer_names = choose_upstream_relays(gw, now) | {
        peer.name for peer in peers.find_subscribers(gw.peers, now)
    }
    _send(gw, message, [gw.peers[name] for name in sorted(peer_names)])


def share_blocked_parts(gw: states.Gateway, message: peer_message.SuspectParts) -> None:
    """Send the blocked parts to this entry's subscribers, some of which may have missed them."""
    _send(gw, message, peers.find_subscribers(gw.peers, boot_clock.now()))


def _send(gw: states.Gateway, message: peer_message.Message, recipients: list[peers.Peer]) -> None:
    data = peer_message.encode(message)
    for peer in recipients:
        gw.transport.send(peer.address, data)
