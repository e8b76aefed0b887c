"""Sends configurations, target changes and stall reports to other entries through relays."""

from __future__ import annotations

from galenavane.gateway import boot_clock, peer_message, peers
from galenavane.gateway import state as states

REMOTE_RELAYS = 1
"""Relays used in each other data centre; traffic between data centres is paid for."""
MAX_STORE_AGE_SECONDS = 1.7
"""A relay's watch of the configuration ends each second; a relay whose last answer from the store
is older is no help."""
RELAY_CHECK_SECONDS = 0.3
"""Interval at which an entry checks that a relay still watches the store on its behalf."""


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
            return True
        peer = gw.peers[name]
        is_fresh = peer.heartbeat is not None and peer.heartbeat.store_age <= MAX_STORE_AGE_SECONDS
        if peers.is_alive(peer, now) and is_fresh:
            return False
    return True


def send_config(gw: states.Gateway) -> None:
    """Send the configuration to this entry's subscribers."""
    update = peer_message.ConfigUpdate(gw.name, gw.config_state.raw)
    _send(gw, update, peers.find_subscribers(gw.peers, boot_clock.now()))


def send_delta(gw: states.Gateway, delta: peer_message.TargetDelta) -> None:
    """Send changes of the list of targets to this entry's subscribers."""
    _send(gw, delta, peers.find_subscribers(gw.peers, boot_clock.now()))


def send_stall(gw: states.Gateway, report: peer_message.StallReport) -> None:
    """Send a stall report to this entry's relays and subscribers, which forward it to the rest."""
    now = boot_clock.now()
    peer_names = choose_upstream_relays(gw, now) | {
        peer.name for peer in peers.find_subscribers(gw.peers, now)
    }
    _send(gw, report, [gw.peers[name] for name in sorted(peer_names)])


def _send(gw: states.Gateway, message: peer_message.Message, recipients: list[peers.Peer]) -> None:
    data = peer_message.encode(message)
    for peer in recipients:
        gw.transport.send(peer.address, data)
