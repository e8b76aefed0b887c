"""Membership and failure detection between entries.

Within a data centre every entry sends heartbeats to every other; to other data centres it sends
them to a few rotating partners only. The rate of heartbeats that one entry sends is bounded,
whatever the number of entries.
"""

from __future__ import annotations

import dataclasses
import hashlib
import random
from collections import abc

from galenavane.peer import action, members, messages, registration

LOCAL_HEARTBEATS_PER_SECOND = 7.0
MIN_LOCAL_HEARTBEAT_SECONDS = 0.5
REMOTE_HEARTBEAT_SECONDS = 1.0
REMOTE_PARTNER_COUNT = 4
PARTNER_ROTATION_SECONDS = 30.0
PROBE_INTERVAL_SECONDS = 2.0
JITTER_FRACTION = 0.1
SUSPECT_AFTER_HEARTBEATS = 3.5
SILENT_AFTER_HEARTBEATS = 7.0
REMOTE_SILENT_AFTER_SECONDS = 120.0
REMOVE_AFTER_SECONDS = 600.0
CONFIGURATION_REQUEST_SECONDS = 0.5
WATCHER_COUNT = 3
NEVER = members.NEVER


@dataclasses.dataclass(slots=True)
class State:
    """Membership as one entry knows it.

    :ivar address: ``IP:port`` on which this entry receives messages of peers.
    :ivar seeds: addresses from the settings, contacted while no member is live.
    :ivar members: other entries by name.
    :ivar remote_partners: names of the entries of other data centres that get heartbeats.
    :ivar generation: configuration generation in force on this entry, 0 for none.
    :ivar configuration_requested_at: monotonic time of the last request for a configuration.
    """

    name: str
    data_centre: str
    address: str
    seeds: list[str]
    members: dict[str, members.Member] = dataclasses.field(default_factory=dict)
    remote_partners: list[str] = dataclasses.field(default_factory=list)
    generation: int = 0
    is_leaving: bool = False
    next_local_heartbeat_at: float = 0.0
    next_remote_heartbeat_at: float = 0.0
    next_rotation_at: float = 0.0
    next_probe_at: float = 0.0
    configuration_requested_at: float = NEVER


def set_registered(state: State, listed: abc.Sequence[registration.Registration]) -> None:
    """Update the members from the platform's registrations.

    A member that is no longer listed is removed once it has sent nothing for
    ``REMOVE_AFTER_SECONDS``.
    """
    names = {entry.name for entry in listed}
    for name, member in state.members.items():
        state.members[name] = dataclasses.replace(member, is_listed=name in names)
    for entry in listed:
        if entry.name == state.name or entry.name in state.members:
            continue
        state.members[entry.name] = members.Member(
            entry.name, entry.data_centre, entry.peers, is_listed=True
        )


def handle_hello(state: State, hello: messages.Hello, now: float) -> list[action.Action]:
    """Add or update the member that sent a hello."""
    known = state.members.get(hello.name)
    if hello.name == state.name or (known is not None and _is_outdated(state, hello, known, now)):
        return []
    state.members[hello.name] = members.Member(
        name=hello.name,
        data_centre=hello.data_centre,
        address=hello.address,
        incarnation=hello.incarnation,
        started_ms=hello.started_ms,
        heard_at=now,
        generation=hello.generation,
        is_leaving=hello.leaving,
        is_listed=known is not None and known.is_listed,
    )
    actions: list[action.Action] = []
    if known is None or known.incarnation != hello.incarnation:
        actions.append(action.LogEvent("peer.heard", hello.name))
    if hello.leaving and not (known is not None and known.is_leaving):
        actions.append(action.LogEvent("peer.leaving", hello.name))
    if hello.wants_answer or 0 < hello.generation < state.generation:
        actions.append(action.SendHello([hello.address], False))
    return actions + _request_if_newer(state, state.members[hello.name], now)


def _is_outdated(state: State, hello: messages.Hello, known: members.Member, now: float) -> bool:
    """Whether a hello is from an earlier start of the member.

    From a silent member it is accepted, since the member may have restarted with its clock set
    back.
    """
    return hello.started_ms < known.started_ms and not is_silent(state, known, now)


def handle_heartbeat(
    state: State, heartbeat: messages.Heartbeat, now: float
) -> list[action.Action]:
    """Update the member that sent a heartbeat; a new incarnation is asked for its hello."""
    known = state.members.get(heartbeat.name)
    if known is None or heartbeat.started_ms < known.started_ms:
        return []
    if heartbeat.started_ms > known.started_ms:
        return [action.SendHello([known.address], True)]
    generation = max(known.generation, heartbeat.generation)
    member = dataclasses.replace(known, heard_at=now, generation=generation, is_suspected=False)
    state.members[heartbeat.name] = member
    actions: list[action.Action] = []
    if known.is_suspected:
        actions.append(action.LogEvent("peer.heard_again", heartbeat.name))
    if member.data_centre != state.data_centre and member.generation < state.generation:
        actions.append(action.SendHello([member.address], False))
    return actions + _request_if_newer(state, member, now)


def _request_if_newer(state: State, member: members.Member, now: float) -> list[action.Action]:
    """Request a newer configuration, from at most one peer in each interval."""
    if (
        member.generation <= state.generation
        or now < state.configuration_requested_at + CONFIGURATION_REQUEST_SECONDS
    ):
        return []
    state.configuration_requested_at = now
    return [action.RequestConfiguration(member.address)]


def set_generation(state: State, generation: int) -> list[action.Action]:
    """Record the generation in force here and announce it to members that may not have it."""
    state.generation = generation
    behind = [
        member.address
        for member in state.members.values()
        if member.generation < generation and _gets_heartbeats(state, member)
    ]
    return [action.SendHello(sorted(behind), False)] if behind else []


def announce_leaving(state: State) -> list[action.Action]:
    """Announce to every entry that gets heartbeats that this one is stopping."""
    state.is_leaving = True
    addresses = sorted(
        member.address for member in state.members.values() if _gets_heartbeats(state, member)
    )
    return [action.SendHello(addresses, False)]


def _gets_heartbeats(state: State, member: members.Member) -> bool:
    return member.data_centre == state.data_centre or member.name in state.remote_partners


def tick(state: State, now: float, rng: random.Random) -> list[action.Action]:
    """Return the actions that are due now."""
    actions = _check_members(state, now)
    if now >= state.next_rotation_at:
        state.next_rotation_at = now + _add_jitter(PARTNER_ROTATION_SECONDS, rng)
        state.remote_partners = state.remote_partners[-REMOTE_PARTNER_COUNT + 1 :]
    _fill_partners(state, rng)
    if now >= state.next_local_heartbeat_at:
        state.next_local_heartbeat_at = now + _add_jitter(
            compute_local_heartbeat_seconds(state), rng
        )
        actions += _send_heartbeats(state, _list_local_heard(state))
    if now >= state.next_remote_heartbeat_at and state.remote_partners:
        state.next_remote_heartbeat_at = now + _add_jitter(REMOTE_HEARTBEAT_SECONDS, rng)
        state.remote_partners.append(state.remote_partners.pop(0))
        actions += _send_heartbeats(state, [state.members[state.remote_partners[0]]])
    if now >= state.next_probe_at:
        state.next_probe_at = now + _add_jitter(PROBE_INTERVAL_SECONDS, rng)
        actions += _probe(state, now, rng)
    return actions


def _send_heartbeats(state: State, receivers: list[members.Member]) -> list[action.Action]:
    # A suspected member may have restarted without any members; only a hello has our address.
    unknown = [member for member in receivers if member.heard_at == NEVER or member.is_suspected]
    known_addresses = sorted(member.address for member in receivers if member not in unknown)
    unknown_addresses = sorted(member.address for member in unknown)
    actions: list[action.Action] = []
    if known_addresses and state.is_leaving:
        actions.append(action.SendHello(known_addresses, False))
    elif known_addresses:
        actions.append(action.SendHeartbeat(known_addresses))
    if unknown_addresses:
        actions.append(action.SendHello(unknown_addresses, True))
    return actions


def _probe(state: State, now: float, rng: random.Random) -> list[action.Action]:
    """Send a hello to one silent member of the data centre, and to the seeds if all are silent."""
    silent_addresses = sorted(
        member.address
        for member in state.members.values()
        if member.data_centre == state.data_centre and is_silent(state, member, now)
    )
    addresses = [rng.choice(silent_addresses)] if silent_addresses else []
    if not any(not is_silent(state, member, now) for member in state.members.values()):
        addresses += [seed for seed in state.seeds if seed != state.address]
    return [action.SendHello(sorted(set(addresses)), True)] if addresses else []


def _check_members(state: State, now: float) -> list[action.Action]:
    actions: list[action.Action] = []
    for name, member in list(state.members.items()):
        if not member.is_listed and now >= member.heard_at + REMOVE_AFTER_SECONDS:
            _remove(state, name)
        elif not member.is_suspected and _is_overdue(state, member, now):
            state.members[name] = dataclasses.replace(member, is_suspected=True)
            actions.append(action.LogEvent("peer.suspected", name))
    return actions


def _remove(state: State, name: str) -> None:
    del state.members[name]
    state.remote_partners = [partner for partner in state.remote_partners if partner != name]


def _is_overdue(state: State, member: members.Member, now: float) -> bool:
    if member.data_centre != state.data_centre or member.heard_at == NEVER:
        return False
    return now >= member.heard_at + SUSPECT_AFTER_HEARTBEATS * compute_local_heartbeat_seconds(
        state
    )


def is_silent(state: State, member: members.Member, now: float) -> bool:
    """Whether a member has sent nothing for so long that it counts as down."""
    if member.data_centre != state.data_centre:
        return now >= member.heard_at + REMOTE_SILENT_AFTER_SECONDS
    return now >= member.heard_at + SILENT_AFTER_HEARTBEATS * compute_local_heartbeat_seconds(state)


def _fill_partners(state: State, rng: random.Random) -> None:
    """Choose the missing remote partners, from as many different data centres as possible."""
    if len(state.remote_partners) >= REMOTE_PARTNER_COUNT:
        return
    remote = sorted(
        member.name
        for member in state.members.values()
        if member.data_centre != state.data_centre and member.name not in state.remote_partners
    )
    rng.shuffle(remote)
    used_data_centres = {state.members[name].data_centre for name in state.remote_partners}
    for name in remote:
        if state.members[name].data_centre not in used_data_centres:
            used_data_centres.add(state.members[name].data_centre)
            state.remote_partners.append(name)
    others = [name for name in remote if name not in state.remote_partners]
    state.remote_partners = [*state.remote_partners, *others][:REMOTE_PARTNER_COUNT]


def compute_local_heartbeat_seconds(state: State) -> float:
    """Return the interval between two heartbeats to each entry of the data centre, in seconds."""
    count = len(_list_local_heard(state))
    return max(MIN_LOCAL_HEARTBEAT_SECONDS, count / LOCAL_HEARTBEATS_PER_SECOND)


def _list_local_heard(state: State) -> list[members.Member]:
    return [
        member
        for member in state.members.values()
        if member.data_centre == state.data_centre and member.heard_at != NEVER
    ]


def list_live_members(state: State, now: float) -> list[members.Member]:
    """Return the members that are not silent."""
    return [member for member in state.members.values() if not is_silent(state, member, now)]


def is_watcher(name: str, local_names: abc.Iterable[str]) -> bool:
    """Whether an entry is one of the few of its data centre that watch the platform.

    :param local_names: other entries of the data centre that are live and not suspected.
    """
    ordered = sorted({name, *local_names}, key=_hash_name)
    return name in ordered[:WATCHER_COUNT]


def _hash_name(name: str) -> str:
    return hashlib.sha256(name.encode()).hexdigest()


def _add_jitter(seconds: float, rng: random.Random) -> float:
    return seconds * rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
