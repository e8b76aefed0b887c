"""Steps for membership decisions, facts and the message decoder."""

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


def make_state(name="a", place="p"):
    """Return the membership of one entry that knows nobody."""
    return membership.State(name, place, f"{name}:1", [])


def hello(name, started_ms=1, generation=1, place="p", leaving=False):
    """Return a hello of an entry."""
    return messages.Hello(
        2, "1.0", name, f"i{started_ms}", started_ms, place, f"{name}:1", generation, leaving, False
    )


def beat(name, started_ms=1, generation=1):
    """Return a beat of an entry."""
    return messages.Heartbeat(2, 1, 0, name, started_ms, generation)


def kinds(commands):
    """Return the types of commands."""
    return [type(one) for one in commands]


@then("membership suspects an entry only after several missed beats")
def suspect(context):
    state, rng = make_state(), random.Random(1)
    membership.handle_hello(state, hello("b"), 0.0)
    period = membership.local_heartbeat_seconds(state)
    membership.tick(state, 2.5 * period, rng)
    assert not state.members["b"].is_suspected
    noted = membership.tick(state, 3.6 * period, rng)
    assert action.LogEvent("peer.suspected", "b") in noted
    assert [one.name for one in membership.live_members(state, 3.6 * period)] == ["b"]
    membership.handle_heartbeat(state, beat("b"), 4 * period)
    assert not state.members["b"].is_suspected
    assert membership.live_members(state, 12 * period) == []


@then("membership ignores messages of an earlier incarnation")
def ignore_earlier(context):
    state = make_state()
    membership.handle_hello(state, hello("b", started_ms=5, generation=3), 0.0)
    known = state.members["b"]
    assert membership.handle_hello(state, hello("b", started_ms=4, generation=9), 1.0) == []
    assert membership.handle_heartbeat(state, beat("b", started_ms=4, generation=9), 1.0) == []
    assert state.members["b"] == known
    assert kinds(membership.handle_heartbeat(state, beat("b", started_ms=6), 1.0)) == [
        action.SendHello
    ]


@then("membership hears an entry again whose clock was set back")
def hear_set_back(context):
    state = make_state()
    membership.handle_hello(state, hello("b", started_ms=5), 0.0)
    later = membership.SILENT_AFTER_HEARTBEATS * membership.local_heartbeat_seconds(state)
    membership.handle_hello(state, hello("b", started_ms=4), later)
    assert state.members["b"].started_ms == 4
    assert [one.name for one in membership.live_members(state, later)] == ["b"]


@then("membership learns of a leaving entry from its first hello")
def hear_leaving(context):
    state = make_state()
    membership.handle_hello(state, hello("b"), 0.0)
    assert membership.announce_leaving(state) == [action.SendHello(["b:1"], False)]
    noted = membership.handle_hello(state, hello("b", leaving=True), 1.0)
    assert action.LogEvent("peer.leaving", "b") in noted and state.members["b"].is_leaving


@then("membership asks one peer at a time for a newer configuration")
def ask_one(context):
    state = make_state()
    asked = []
    for number in range(15):
        asked += membership.handle_hello(state, hello(f"b{number}", generation=2), 0.0)
    assert kinds(asked).count(action.RequestConfiguration) == 1
    later = membership.handle_heartbeat(state, beat("b3", generation=2), 0.6)
    assert later == [action.RequestConfiguration("b3:1")]
    told = membership.set_generation(state, 2)
    assert told == [], "all of them have it"


@then("membership names 3 watchers among 16 entries, and all of 2")
def name_watchers(context):
    names = [f"entry-{number}" for number in range(16)]
    watchers = [name for name in names if membership.is_watcher(name, set(names) - {name})]
    assert len(watchers) == 3
    assert all(membership.is_watcher(name, names[:2]) for name in names[:2])


@then("membership of 410 entries in 26 data centres sends and receives under 4096 bytes a second")
def bound_traffic(context):
    state, rng = make_state("entry-0000", "place-00"), random.Random(1)
    listed = []
    for number in range(ENTRIES):
        place = f"place-{number % DATA_CENTRES:02d}"
        name = f"entry-{number:04d}"
        listed.append(registration.Registration(name, "", place, f"10.0.0.1:{number}", ""))
    membership.set_registered(state, listed)
    local = [one.name for one in listed if one.data_centre == "place-00" and one.name != state.name]
    sender = state_delta.DeltaSender()
    own = shared_state.SharedState(
        sends={f"place-00-service-{number:03d}": number for number in range(230)}
    )
    sent_bytes = sent = 0
    for quarter in range(4 * 120):
        now = quarter / 4
        for name in local:
            membership.handle_hello(state, hello(name, place="place-00"), now)
        for name in state.remote_partners:
            member = state.members[name]
            membership.handle_hello(state, hello(name, place=member.data_centre), now)
        for one in membership.tick(state, now, rng):
            if isinstance(one, action.SendHeartbeat):
                update = sender.next_delta(own)
                found = messages.Heartbeat(2, 2**40, 9999, state.name, 2**40, 2**20, update)
                sent += len(one.addresses)
                sent_bytes += len(one.addresses) * len(messages.encode(found))
    overhead = CURVE_AND_FRAME_BYTES + TCP_AND_IP_BYTES
    both_ways = 2 * (sent_bytes + sent * overhead) / 120
    assert sent_bytes * 2 > 100 * 120 and both_ways < LIMIT_BYTES_PER_SECOND, both_ways


@then(
    "membership of an entry restarted without seeds or a platform hears a peer within 2.5 seconds"
)
def hear_after_restart(context):
    state, rng = make_state(), random.Random(3)
    membership.handle_hello(state, hello("b"), 0.0)
    restarted = make_state("b")
    restarted_at, heard_at = 0.5, None
    for quarter in range(1, 40):
        now = quarter / 4
        for one in membership.tick(state, now, rng):
            if now < restarted_at or heard_at is not None:
                continue
            if isinstance(one, action.SendHeartbeat):
                membership.handle_heartbeat(restarted, beat("a"), now)
            elif isinstance(one, action.SendHello) and one.wants_answer:
                found = membership.handle_hello(restarted, hello("a"), now)
                assert action.RequestConfiguration("a:1") in found
                heard_at = now
    assert heard_at is not None and heard_at - restarted_at <= 2.5, heard_at


names = strategies.text("abc", min_size=1, max_size=3)
demands = strategies.builds(
    shared_state.Demand, strategies.floats(0, 9, width=32), strategies.floats(0, 9, width=32)
)
all_facts = strategies.builds(
    shared_state.SharedState,
    sends=strategies.dictionaries(names, strategies.integers(1, 9), max_size=9),
    demand=strategies.dictionaries(names, demands, max_size=9),
    suspects=strategies.dictionaries(names, strategies.floats(1, 9, width=32), max_size=9),
    leaving=strategies.lists(names, unique=True, max_size=9).map(sorted),
)


@then("facts of any kind arrive in parts of limited size")
def send_parts(context):
    @SETTINGS
    @hypothesis.given(strategies.lists(all_facts, min_size=1, max_size=4))
    def check(changes):
        sender, heard = state_delta.DeltaSender(), shared_state.SharedState()
        for own in changes:
            heard = state_delta.apply(heard, sender.next_delta(own))
        for _ in range(40):
            update = sender.next_delta(changes[-1])
            assert len(msgspec.msgpack.encode(update)) < 2 * state_delta.MAX_DELTA_BYTES
            heard = state_delta.apply(heard, update)
        assert heard == changes[-1]

    check()


@then("facts removed go away at {count:d} peers that get beats in turn and lose every third")
def remove_in_turn(context, count):
    senders = delta_senders.DeltaSenders()
    heard = {f"10.0.0.{number}:1": shared_state.SharedState() for number in range(count)}
    beats = itertools.count(1)

    def tell(own, rounds):
        for _ in range(rounds):
            for address in heard:
                update = senders.next_delta([address], own)
                if next(beats) % 3:
                    heard[address] = state_delta.apply(heard[address], update)

    tell(shared_state.SharedState(sends={f"group-{number}": 1 for number in range(9)}), 30)
    assert all(len(found.sends) == 9 for found in heard.values())
    tell(shared_state.SharedState(), 30)
    assert all(not found.sends for found in heard.values()), heard


@then("peer messages that are damaged, unknown or of another version are dropped")
def drop_damaged(context):
    good = messages.encode(hello("b"))
    assert messages.decode(good) == hello("b")
    other = messages.encode(msgspec.structs.replace(hello("b"), protocol=1))
    assert messages.decode(other) is None

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def check(data):
        found = messages.decode(data)
        assert found is None or found.protocol == messages.PROTOCOL_VERSION

    @SETTINGS
    @hypothesis.given(strategies.integers(0, len(good) - 1), strategies.integers(0, 255))
    def damage(index, byte):
        data = bytearray(good)
        data[index] = byte
        messages.decode(bytes(data))
        messages.decode(good[:index])

    check()
    damage()
    assert messages.decode(b"\x91" * 100_000) is None
