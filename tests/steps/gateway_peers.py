"""Steps for relays."""

from __future__ import annotations

from behave import given, then, when
from steps import gateway_knowledge

from galenavane.gateway import config_state, peer_message, peers


@given('26 entries of data centre "a", two of them with wide links')
def make_entries(context):
    context.peers = {}
    for number in range(26):
        name = f"entry-{number}"
        bandwidth = 200.0 if number in (7, 19) else 20.0
        context.peers[name] = peers.Peer(name, f"10.0.0.{number}:1", "a", bandwidth, 0.0)


@then("every entry chooses the two with wide links")
def check_chosen(context):
    for me, own in context.peers.items():
        others = {name: one for name, one in context.peers.items() if name != me}
        chosen = peers.choose_relays(others, "a", 1.0, me, own.bandwidth)
        assert sorted(chosen) == ["entry-19", "entry-7"], chosen


def first_relay(context):
    """Return the peer that all choose first."""
    fresh = {
        name: peers.Peer(name, "", "a", one.bandwidth, 0.0) for name, one in context.peers.items()
    }
    return context.peers[peers.choose_relays(fresh, "a", 0.0)[0]]


@when("the first relay was asked at {at:g} s and not heard")
def ask_relay(context, at):
    context.relay = first_relay(context)
    peers.note_sent(context.relay, at)


@when("the first relay says that it stops")
def stop_relay(context):
    context.relay = first_relay(context)
    context.relay.heartbeat = gateway_knowledge.make_pulse(is_stopping=True)


@then("at {at:g} s it is still chosen")
def check_still(context, at):
    assert context.relay.name in peers.choose_relays(context.peers, "a", at)


@then("at {at:g} s it is not chosen")
def check_not(context, at):
    assert context.relay.name not in peers.choose_relays(context.peers, "a", at)


@given('relays of data centres "a" and "b" with {near:d} and {far:d} requests at one head')
def make_relays(context, near, far):
    context.peers = {}
    word = config_state.ConfigState()
    load = peer_message.HeadLoad
    own = gateway_knowledge.make_pulse(
        sender="x", data_centre="a", wants_relay=True, loads=[load("h", near)]
    )
    other = gateway_knowledge.make_pulse(sender="y", data_centre="b", local_loads=[load("h", far)])
    peers.handle_heartbeat(context.peers, own, word, 10.0)
    peers.handle_heartbeat(context.peers, other, word, 10.0)


@then("{count:d} requests are at the head")
def check_loads(context, count):
    local = peers.sum_local_loads(context.peers, "a", {}, 10.0)
    assert peers.sum_all_loads(context.peers, "a", local, 10.0) == {"h": count}


@then("damaged bytes are not taken for a message")
def check_damaged(context):
    good = peer_message.encode(peer_message.SyncRequest("a", "b", 1, 2))
    assert peer_message.decode(good) == peer_message.SyncRequest("a", "b", 1, 2)
    for bad in (b"", b"\xff\xff", good[:-1], b"\x91\xa3ask"):
        assert peer_message.decode(bad) is None
