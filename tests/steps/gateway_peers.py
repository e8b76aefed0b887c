"""Steps for choosing relays and adding up loads."""

from __future__ import annotations

from behave import given, then, when
from steps import gateway_config_state

from galenavane.gateway import config_state, peer_message, peers


@given('26 entries of data centre "a", two of them with wide links')
def make_entries(context):
    context.peers = {}
    for number in range(26):
        name = f"entry-{number}"
        bandwidth = 200.0 if number in (7, 19) else 20.0
        context.peers[name] = peers.make_peer(name, f"10.0.0.{number}:1", "a", bandwidth, 0.0)


@then("every entry chooses the two with wide links")
def check_chosen(context):
    for own_name, own_peer in context.peers.items():
        others = {name: peer for name, peer in context.peers.items() if name != own_name}
        chosen = peers.choose_relays(others, "a", 1.0, own_name, own_peer.bandwidth)
        assert sorted(chosen) == ["entry-19", "entry-7"], chosen


def find_first_relay(context):
    """Return the peer that all entries choose first."""
    fresh = {
        name: peers.make_peer(name, "", "a", peer.bandwidth, 0.0)
        for name, peer in context.peers.items()
    }
    return context.peers[peers.choose_relays(fresh, "a", 0.0)[0]]


@when("the first relay was sent a message at {at:g} s and did not answer")
def send_to_relay(context, at):
    context.relay = find_first_relay(context)
    peers.note_sent(context.relay, at)


@when("the first relay announces that it is stopping")
def stop_relay(context):
    context.relay = find_first_relay(context)
    context.relay.heartbeat = gateway_config_state.make_heartbeat(is_stopping=True)


@then("at {at:g} s it is still chosen")
def check_is_chosen(context, at):
    assert context.relay.name in peers.choose_relays(context.peers, "a", at)


@then("at {at:g} s it is not chosen")
def check_is_not_chosen(context, at):
    assert context.relay.name not in peers.choose_relays(context.peers, "a", at)


@given('relays of data centres "a" and "b" with {near:d} and {far:d} requests at one head')
def make_relays(context, near, far):
    context.peers = {}
    known_config = config_state.ConfigState()
    load = peer_message.HeadLoad
    near_heartbeat = gateway_config_state.make_heartbeat(
        sender="x", data_centre="a", wants_relay=True, loads=[load("h", near)]
    )
    far_heartbeat = gateway_config_state.make_heartbeat(
        sender="y", data_centre="b", local_loads=[load("h", far)]
    )
    peers.handle_heartbeat(context.peers, near_heartbeat, known_config, 10.0)
    peers.handle_heartbeat(context.peers, far_heartbeat, known_config, 10.0)


@then("the head's load is {count:d} requests")
def check_loads(context, count):
    local = peers.sum_local_loads(context.peers, "a", {}, 10.0)
    assert peers.sum_all_loads(context.peers, "a", local, 10.0) == {"h": count}


@then("malformed bytes are not decoded as a message")
def check_damaged(context):
    encoded = peer_message.encode(peer_message.SyncRequest("a", "b", 1, 2))
    assert peer_message.decode(encoded) == peer_message.SyncRequest("a", "b", 1, 2)
    for damaged in (b"", b"\xff\xff", encoded[:-1], b"\x91\xa3ask"):
        assert peer_message.decode(damaged) is None
