"""Steps for choosing relays and adding up loads."""

from __future__ import annotations

import trio
from behave import given, then, when
from steps import gateway_config_state, gateway_whole_path

from galenavane.gateway import config_state, peer_message, peers, peers_task

plan_step = gateway_whole_path.plan_step


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


def is_due(context, sender, receiver, seconds, receiver_data_centre="a"):
    """Whether an entry owes another one a heartbeat some seconds after the last one."""
    peer = peers.make_peer(receiver, "", receiver_data_centre, 20.0, 0.0)
    peer.heartbeat_sent_at = 1.0
    relays = peers.choose_relays(context.peers, "a", 1.0)
    return peers.is_heartbeat_due(peer, sender, "a", relays, 1.0 + seconds)


@then("an entry that sent its last heartbeats 0.15 s ago owes one to the first relay only")
def check_due_to_relays(context):
    first, second = peers.choose_relays(context.peers, "a", 1.0)
    assert is_due(context, "entry-3", first, 0.15)
    assert not is_due(context, "entry-3", second, 0.15)


@then("the second relay owes its subscribers none, and the first one owes them one")
def check_due_to_subscribers(context):
    first, second = peers.choose_relays(context.peers, "a", 1.0)
    assert is_due(context, first, "entry-3", 0.15)
    assert not is_due(context, second, "entry-3", 0.15)


@then("after 0.3 s each owes one to everybody")
def check_due_later(context):
    first, second = peers.choose_relays(context.peers, "a", 1.0)
    for sender, receiver in (("entry-3", second), (second, "entry-3"), (second, first)):
        assert is_due(context, sender, receiver, 0.301)


@then("entries of another data centre are owed one at any time")
def check_due_elsewhere(context):
    assert is_due(context, "entry-3", "elsewhere", 0.0, "b")


@given('data centres "a" to "e" whose first relays have store ages {ages}')
def make_first_relays(context, ages):
    context.peers = {}
    for data_centre, age in zip("abcde", ages.split(), strict=True):
        if age == "-":
            continue
        heartbeat = gateway_config_state.make_heartbeat(
            sender=f"relay-{data_centre}", data_centre=data_centre, own_store_age=float(age)
        )
        peers.handle_heartbeat(context.peers, heartbeat, config_state.ConfigState(), 10.0)


@then("the relays of {watching} watch the store")
def check_watching(context, watching):
    alive = [peer.data_centre for peer in context.peers.values()]
    seen = []
    for data_centre in alive:
        others = {
            name: peer for name, peer in context.peers.items() if peer.data_centre != data_centre
        }
        if not peers.has_leading_relay(others, data_centre, 10.1):
            seen.append(data_centre)
    assert seen == watching.split(), seen


@given("a first relay that has heard from one entry of its data centre and not from another")
def make_relay_with_peers(context):
    context.peers = {
        name: peers.make_peer(name, "", data_centre, 20.0, 0.0)
        for name, data_centre in (("heard", "a"), ("silent", "a"), ("elsewhere", "b"))
    }


def find_silent(context, first_relay_since, now):
    """Return the entries that the relay of data centre "a" removes."""
    context.peers["heard"].last_message_at = now - 0.2
    return peers.find_silent(context.peers, "a", first_relay_since, now)


@then("29 s later it removes none")
def check_none_removed(context):
    assert find_silent(context, 0.0, 29.0) == []


@then("31 s later it removes the silent one")
def check_silent_removed(context):
    assert find_silent(context, 0.0, 31.0) == ["silent"]


@then("an entry that became the first relay 5 s ago removes none")
def check_new_relay(context):
    assert find_silent(context, 26.0, 31.0) == []


@then("an entry of another data centre is not removed")
def check_elsewhere(context):
    assert "elsewhere" not in find_silent(context, 0.0, 300.0)


@when("{count:d} other entries are listed, {page:d} in a page")
def list_entries(context, count, page):
    @plan_step(context)
    async def step(world):
        world.store.page_items = page
        for number in range(count):
            value = {"address": "127.0.0.1:1", "data_centre": "dc", "bandwidth": 1.0}
            world.store.put(peers_task.ENTRIES_KIND, f"a{number}", value)


@when("the pages after the second one can't be read")
def fail_pages(context):
    @plan_step(context)
    async def step(world):
        world.store.away_after.add("a5")


@when("all pages can be read again")
def read_pages(context):
    @plan_step(context)
    async def step(world):
        world.store.away_after.clear()


@then("the entry knows {count:d} others within {seconds:d} s")
def check_known(context, count, seconds):
    @plan_step(context)
    async def step(world):
        with trio.move_on_after(seconds):
            while len(world.entry.peers) < count:
                await trio.sleep(0.05)
        assert len(world.entry.peers) == count, sorted(world.entry.peers)


@then("the entry is listed")
def check_listed(context):
    @plan_step(context)
    async def step(world):
        assert "e1" in world.store.objects[peers_task.ENTRIES_KIND]


@given("an entry that was last listed at 0 s")
def make_listed(context):
    context.peers = {"e": peers.make_peer("e", "", "a", 20.0, 0.0)}


@then("at {at:d} s, with a listing each {interval:d} s, it is {outcome}")
def check_forgotten(context, at, interval, outcome):
    is_forgotten = peers.find_expired(context.peers, float(interval), float(at)) == ["e"]
    assert is_forgotten == (outcome == "forgotten")
