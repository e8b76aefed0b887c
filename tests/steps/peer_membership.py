"""Steps for membership decisions, shared state and the message decoder."""

from __future__ import annotations

import itertools
import random

import hypothesis
import msgspec
from behave import then
from hypothesis import strategies

from galenavane.peer import (
    action,
    delta_senders,
    membership,
    messages,
    registration,
    shared_state,
    state_delta,
)

SETTINGS = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=150)
ENTRIES = 410
DATA_CENTRES = 26
CURVE_AND_FRAME_BYTES = 35
TCP_AND_IP_BYTES = 52
LIMIT_BYTES_PER_SECOND = 4096


def make_state(name="a", data_centre="p"):
    """Return the membership of an entry without known members."""
    return membership.State(name, data_centre, f"{name}:1", [])


def make_hello(name, started_ms=1, generation=1, data_centre="p", leaving=False):
    """Return a hello of an entry."""
    return messages.Hello(
        2,
        "1.0",
        name,
        f"i{started_ms}",
        started_ms,
        data_centre,
        f"{name}:1",
        generation,
        leaving,
        False,
    )


def make_heartbeat(name, started_ms=1, generation=1):
    """Return a heartbeat of an entry."""
    return messages.Heartbeat(2, 1, 0, name, started_ms, generation)


def action_types(actions):
    """Return the types of actions."""
    return [type(item) for item in actions]


@then("membership suspects an entry only after several missed heartbeats")
def check_suspicion(context):
    state, rng = make_state(), random.Random(1)
    membership.handle_hello(state, make_hello("b"), 0.0)
    period = membership.compute_local_heartbeat_seconds(state)
    membership.tick(state, 2.5 * period, rng)
    assert not state.members["b"].is_suspected
    actions = membership.tick(state, 3.6 * period, rng)
    assert action.LogEvent("peer.suspected", "b") in actions
    assert [member.name for member in membership.list_live_members(state, 3.6 * period)] == ["b"]
    membership.handle_heartbeat(state, make_heartbeat("b"), 4 * period)
    assert not state.members["b"].is_suspected
    assert membership.list_live_members(state, 12 * period) == []


@then("membership ignores messages of an earlier incarnation")
def check_earlier_incarnation(context):
    state = make_state()
    membership.handle_hello(state, make_hello("b", started_ms=5, generation=3), 0.0)
    known = state.members["b"]
    assert membership.handle_hello(state, make_hello("b", started_ms=4, generation=9), 1.0) == []
    assert (
        membership.handle_heartbeat(state, make_heartbeat("b", started_ms=4, generation=9), 1.0)
        == []
    )
    assert state.members["b"] == known
    assert action_types(
        membership.handle_heartbeat(state, make_heartbeat("b", started_ms=6), 1.0)
    ) == [action.SendHello]


@then("membership accepts a silent entry whose clock was set back")
def check_clock_set_back(context):
    state = make_state()
    membership.handle_hello(state, make_hello("b", started_ms=5), 0.0)
    later = membership.SILENT_AFTER_HEARTBEATS * membership.compute_local_heartbeat_seconds(state)
    membership.handle_hello(state, make_hello("b", started_ms=4), later)
    assert state.members["b"].started_ms == 4
    assert [member.name for member in membership.list_live_members(state, later)] == ["b"]


@then("membership learns that an entry is leaving from a single hello")
def check_leaving(context):
    state = make_state()
    membership.handle_hello(state, make_hello("b"), 0.0)
    assert membership.announce_leaving(state) == [action.SendHello(["b:1"], False)]
    actions = membership.handle_hello(state, make_hello("b", leaving=True), 1.0)
    assert action.LogEvent("peer.leaving", "b") in actions and state.members["b"].is_leaving


@then("membership requests a newer configuration from one peer at a time")
def check_configuration_request(context):
    state = make_state()
    actions = []
    for number in range(15):
        actions += membership.handle_hello(state, make_hello(f"b{number}", generation=2), 0.0)
    assert action_types(actions).count(action.RequestConfiguration) == 1
    later_actions = membership.handle_heartbeat(state, make_heartbeat("b3", generation=2), 0.6)
    assert later_actions == [action.RequestConfiguration("b3:1")]
    own_actions = membership.set_generation(state, 2)
    assert own_actions == [], "every member already has this generation"


@then("membership chooses 3 watchers among 16 entries, and both of 2")
def check_watchers(context):
    names = [f"entry-{number}" for number in range(16)]
    watchers = [name for name in names if membership.is_watcher(name, set(names) - {name})]
    assert len(watchers) == 3
    assert all(membership.is_watcher(name, names[:2]) for name in names[:2])


@then("membership of 410 entries in 26 data centres sends and receives under 4096 bytes per second")
def check_traffic(context):
    state, rng = make_state("entry-0000", "place-00"), random.Random(1)
    registered = []
    for number in range(ENTRIES):
        data_centre = f"place-{number % DATA_CENTRES:02d}"
        name = f"entry-{number:04d}"
        registered.append(
            registration.Registration(name, "", data_centre, f"10.0.0.1:{number}", "")
        )
    membership.set_registered(state, registered)
    local = [
        item.name
        for item in registered
        if item.data_centre == "place-00" and item.name != state.name
    ]
    sender = state_delta.DeltaSender()
    own = shared_state.SharedState(
        sends={f"place-00-service-{number:03d}": number for number in range(230)}
    )
    sent_bytes = sent = 0
    for step in range(4 * 120):
        now = step / 4
        for name in local:
            membership.handle_hello(state, make_hello(name, data_centre="place-00"), now)
        for name in state.remote_partners:
            member = state.members[name]
            membership.handle_hello(state, make_hello(name, data_centre=member.data_centre), now)
        for item in membership.tick(state, now, rng):
            if isinstance(item, action.SendHeartbeat):
                update = sender.next_delta(own)
                message = messages.Heartbeat(2, 2**40, 9999, state.name, 2**40, 2**20, update)
                sent += len(item.addresses)
                sent_bytes += len(item.addresses) * len(messages.encode(message))
    overhead = CURVE_AND_FRAME_BYTES + TCP_AND_IP_BYTES
    both_ways = 2 * (sent_bytes + sent * overhead) / 120
    assert sent_bytes * 2 > 100 * 120 and both_ways < LIMIT_BYTES_PER_SECOND, both_ways


@then(
    "membership of an entry restarted without seeds or a platform hears from a peer "
    "within 2.5 seconds"
)
def check_restart(context):
    state, rng = make_state(), random.Random(3)
    membership.handle_hello(state, make_hello("b"), 0.0)
    restarted = make_state("b")
    restarted_at, heard_at = 0.5, None
    for step in range(1, 40):
        now = step / 4
        for item in membership.tick(state, now, rng):
            if now < restarted_at or heard_at is not None:
                continue
            if isinstance(item, action.SendHeartbeat):
                membership.handle_heartbeat(restarted, make_heartbeat("a"), now)
            elif isinstance(item, action.SendHello) and item.wants_answer:
                answers = membership.handle_hello(restarted, make_hello("a"), now)
                assert action.RequestConfiguration("a:1") in answers
                heard_at = now
    assert heard_at is not None and heard_at - restarted_at <= 2.5, heard_at


names = strategies.text("abc", min_size=1, max_size=3)
demands = strategies.builds(
    shared_state.Demand, strategies.floats(0, 9, width=32), strategies.floats(0, 9, width=32)
)
shared_states = strategies.builds(
    shared_state.SharedState,
    sends=strategies.dictionaries(names, strategies.integers(1, 9), max_size=9),
    demand=strategies.dictionaries(names, demands, max_size=9),
    suspects=strategies.dictionaries(names, strategies.floats(1, 9, width=32), max_size=9),
    leaving=strategies.lists(names, unique=True, max_size=9).map(sorted),
    draining_sends=strategies.dictionaries(names, strategies.integers(1, 9), max_size=9),
)


@then("any shared state arrives complete in deltas of limited size")
def check_delta_size(context):
    @SETTINGS
    @hypothesis.given(strategies.lists(shared_states, min_size=1, max_size=4))
    def check(changes):
        sender, received = state_delta.DeltaSender(), shared_state.SharedState()
        for state in changes:
            received = state_delta.apply(received, sender.next_delta(state))
        for _ in range(40):
            delta = sender.next_delta(changes[-1])
            assert len(msgspec.msgpack.encode(delta)) < 2 * state_delta.MAX_DELTA_BYTES
            received = state_delta.apply(received, delta)
        assert received == changes[-1]

    check()


@then(
    "keys removed from shared state disappear at {count:d} peers that get heartbeats in turn "
    "and lose every third"
)
def check_removals(context, count):
    senders = delta_senders.DeltaSenders()
    received = {f"10.0.0.{number}:1": shared_state.SharedState() for number in range(count)}
    heartbeats = itertools.count(1)

    def send(state, rounds):
        for _ in range(rounds):
            for address in received:
                delta = senders.next_delta([address], state)
                if next(heartbeats) % 3:
                    received[address] = state_delta.apply(received[address], delta)

    send(shared_state.SharedState(sends={f"group-{number}": 1 for number in range(9)}), 30)
    assert all(len(peer_state.sends) == 9 for peer_state in received.values())
    send(shared_state.SharedState(), 30)
    assert all(not peer_state.sends for peer_state in received.values()), received


@then("peer messages that are malformed, unknown or of another version are dropped")
def check_damaged_messages(context):
    intact = messages.encode(make_hello("b"))
    assert messages.decode(intact) == make_hello("b")
    other_version = messages.encode(msgspec.structs.replace(make_hello("b"), protocol=1))
    assert messages.decode(other_version) is None

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def check(data):
        message = messages.decode(data)
        assert message is None or message.protocol == messages.PROTOCOL_VERSION

    @SETTINGS
    @hypothesis.given(strategies.integers(0, len(intact) - 1), strategies.integers(0, 255))
    def damage(index, byte):
        data = bytearray(intact)
        data[index] = byte
        messages.decode(bytes(data))
        messages.decode(intact[:index])

    check()
    damage()
    assert messages.decode(b"\x91" * 100_000) is None
