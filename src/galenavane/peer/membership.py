"""Decides whom an entry tells that it lives, whom it suspects, and whom it asks.

Beats are regular within a data centre and thin between data centres. The rate of beats that one
entry sends is bounded whatever the number of entries.
"""

from __future__ import annotations

import dataclasses
import hashlib
import random
from collections import abc

from galenavane.peer import command, members, messages, registration

LOCAL_BEATS_PER_SECOND = 7.0
MIN_LOCAL_PERIOD_SECONDS = 0.5
REMOTE_PERIOD_SECONDS = 1.0
REMOTE_PARTNERS = 4
ROTATE_SECONDS = 30.0
PROBE_SECONDS = 2.0
JITTER = 0.1
SUSPECT_PERIODS = 3.5
SILENT_PERIODS = 7.0
REMOTE_SILENT_SECONDS = 120.0
FORGET_SECONDS = 600.0
ASK_SECONDS = 0.5
WATCHERS = 3
NEVER = members.NEVER


@dataclasses.dataclass(slots=True)
class State:
    """What one entry knows of the others.

    :ivar members: other entries by name.
    :ivar seeds: addresses from the settings, asked while nobody else is known.
    :ivar partners: names of the remote entries that get beats.
    :ivar asked_at: when the configuration was last asked of anybody.
    """

    name: str
    data_centre: str
    address: str
    seeds: list[str]
    members: dict[str, members.Member] = dataclasses.field(default_factory=dict)
    partners: list[str] = dataclasses.field(default_factory=list)
    generation: int = 0
    leaving: bool = False
    next_local_at: float = 0.0
    next_remote_at: float = 0.0
    next_rotation_at: float = 0.0
    next_probe_at: float = 0.0
    asked_at: float = NEVER


def list_entries(state: State, listed: abc.Sequence[registration.Registration]) -> None:
    """Take in the platform's registrations; those not listed any more are forgotten in time."""
    names = {one.name for one in listed}
    for name, member in state.members.items():
        state.members[name] = dataclasses.replace(member, is_listed=name in names)
    for one in listed:
        if one.name == state.name or one.name in state.members:
            continue
        state.members[one.name] = members.Member(
            one.name, one.data_centre, one.peers, is_listed=True
        )


def hear_hello(state: State, hello: messages.Hello, now: float) -> list[command.Command]:
    """Take in who an entry is."""
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
        leaving=hello.leaving,
        is_listed=known is not None and known.is_listed,
    )
    commands: list[command.Command] = []
    if known is None or known.incarnation != hello.incarnation:
        commands.append(command.Note("peer.heard", hello.name))
    if hello.leaving and not (known is not None and known.leaving):
        commands.append(command.Note("peer.leaving", hello.name))
    if hello.wants_answer or 0 < hello.generation < state.generation:
        commands.append(command.SayHello([hello.address], False))
    return commands + _compare(state, state.members[hello.name], now)


def _is_outdated(state: State, hello: messages.Hello, known: members.Member, now: float) -> bool:
    """Whether a hello is of an earlier start; a silent member's clock may have been set back."""
    return hello.started_ms < known.started_ms and not is_silent(state, known, now)


def hear_beat(state: State, beat: messages.Beat, now: float) -> list[command.Command]:
    """Take in a sign of life; an unknown incarnation is asked who it is."""
    known = state.members.get(beat.name)
    if known is None or beat.started_ms < known.started_ms:
        return []
    if beat.started_ms > known.started_ms:
        return [command.SayHello([known.address], True)]
    generation = max(known.generation, beat.generation)
    member = dataclasses.replace(known, heard_at=now, generation=generation, is_suspected=False)
    state.members[beat.name] = member
    commands: list[command.Command] = []
    if known.is_suspected:
        commands.append(command.Note("peer.heard_again", beat.name))
    if member.data_centre != state.data_centre and member.generation < state.generation:
        commands.append(command.SayHello([member.address], False))
    return commands + _compare(state, member, now)


def _compare(state: State, member: members.Member, now: float) -> list[command.Command]:
    """Ask for a newer configuration, one peer at a time."""
    if member.generation <= state.generation or now < state.asked_at + ASK_SECONDS:
        return []
    state.asked_at = now
    return [command.AskConfiguration(member.address)]


def take_generation(state: State, generation: int) -> list[command.Command]:
    """Take in that a configuration is in force here, and tell those that may not have it."""
    state.generation = generation
    behind = [
        one.address
        for one in state.members.values()
        if one.generation < generation and _is_told(state, one)
    ]
    return [command.SayHello(sorted(behind), False)] if behind else []


def leave(state: State) -> list[command.Command]:
    """Tell every entry that gets beats that this one is stopping."""
    state.leaving = True
    told = sorted(one.address for one in state.members.values() if _is_told(state, one))
    return [command.SayHello(told, False)]


def _is_told(state: State, member: members.Member) -> bool:
    return member.data_centre == state.data_centre or member.name in state.partners


def tick(state: State, now: float, rng: random.Random) -> list[command.Command]:
    """Return what is due now."""
    commands = _review(state, now)
    if now >= state.next_rotation_at:
        state.next_rotation_at = now + _spread(ROTATE_SECONDS, rng)
        state.partners = state.partners[-REMOTE_PARTNERS + 1 :]
    _fill_partners(state, rng)
    if now >= state.next_local_at:
        state.next_local_at = now + _spread(local_period(state), rng)
        commands += _beat(state, _heard_local(state))
    if now >= state.next_remote_at and state.partners:
        state.next_remote_at = now + _spread(REMOTE_PERIOD_SECONDS, rng)
        state.partners.append(state.partners.pop(0))
        commands += _beat(state, [state.members[state.partners[0]]])
    if now >= state.next_probe_at:
        state.next_probe_at = now + _spread(PROBE_SECONDS, rng)
        commands += _probe(state, now, rng)
    return commands


def _beat(state: State, told: list[members.Member]) -> list[command.Command]:
    # A suspect may have been restarted and know nobody; only a hello tells it an address.
    unknown = [one for one in told if one.heard_at == NEVER or one.is_suspected]
    heard = sorted(one.address for one in told if one not in unknown)
    unheard = sorted(one.address for one in unknown)
    commands: list[command.Command] = []
    if heard and state.leaving:
        commands.append(command.SayHello(heard, False))
    elif heard:
        commands.append(command.SendBeat(heard))
    if unheard:
        commands.append(command.SayHello(unheard, True))
    return commands


def _probe(state: State, now: float, rng: random.Random) -> list[command.Command]:
    """Say hello to one listed entry of the data centre that is not heard, and to the seeds."""
    unheard = sorted(
        one.address
        for one in state.members.values()
        if one.data_centre == state.data_centre and is_silent(state, one, now)
    )
    addresses = [rng.choice(unheard)] if unheard else []
    if not any(not is_silent(state, one, now) for one in state.members.values()):
        addresses += [one for one in state.seeds if one != state.address]
    return [command.SayHello(sorted(set(addresses)), True)] if addresses else []


def _review(state: State, now: float) -> list[command.Command]:
    commands: list[command.Command] = []
    for name, member in list(state.members.items()):
        if not member.is_listed and now >= member.heard_at + FORGET_SECONDS:
            _forget(state, name)
        elif not member.is_suspected and _is_suspect(state, member, now):
            state.members[name] = dataclasses.replace(member, is_suspected=True)
            commands.append(command.Note("peer.suspected", name))
    return commands


def _forget(state: State, name: str) -> None:
    del state.members[name]
    state.partners = [one for one in state.partners if one != name]


def _is_suspect(state: State, member: members.Member, now: float) -> bool:
    if member.data_centre != state.data_centre or member.heard_at == NEVER:
        return False
    return now >= member.heard_at + SUSPECT_PERIODS * local_period(state)


def is_silent(state: State, member: members.Member, now: float) -> bool:
    """Whether a member was not heard for so long that it counts as gone."""
    if member.data_centre != state.data_centre:
        return now >= member.heard_at + REMOTE_SILENT_SECONDS
    return now >= member.heard_at + SILENT_PERIODS * local_period(state)


def _fill_partners(state: State, rng: random.Random) -> None:
    """Choose remote partners, of different data centres while there are enough."""
    if len(state.partners) >= REMOTE_PARTNERS:
        return
    remote = sorted(
        one.name
        for one in state.members.values()
        if one.data_centre != state.data_centre and one.name not in state.partners
    )
    rng.shuffle(remote)
    used = {state.members[name].data_centre for name in state.partners}
    for name in remote:
        if state.members[name].data_centre not in used:
            used.add(state.members[name].data_centre)
            state.partners.append(name)
    rest = [name for name in remote if name not in state.partners]
    state.partners = [*state.partners, *rest][:REMOTE_PARTNERS]


def local_period(state: State) -> float:
    """Return the time between two beats to each entry of the data centre, in seconds."""
    count = len(_heard_local(state))
    return max(MIN_LOCAL_PERIOD_SECONDS, count / LOCAL_BEATS_PER_SECOND)


def _heard_local(state: State) -> list[members.Member]:
    return [
        one
        for one in state.members.values()
        if one.data_centre == state.data_centre and one.heard_at != NEVER
    ]


def live(state: State, now: float) -> list[members.Member]:
    """Return the members that are heard."""
    return [one for one in state.members.values() if not is_silent(state, one, now)]


def is_watcher(name: str, local_names: abc.Iterable[str]) -> bool:
    """Whether an entry is one of those of its data centre that watch the platform.

    :param local_names: other entries of the data centre that are heard and not suspected.
    """
    ranked = sorted({name, *local_names}, key=_rank)
    return name in ranked[:WATCHERS]


def _rank(name: str) -> str:
    return hashlib.sha256(name.encode()).hexdigest()


def _spread(seconds: float, rng: random.Random) -> float:
    return seconds * rng.uniform(1 - JITTER, 1 + JITTER)
