"""Finds the parts of prompts that crash targets, and decides which requests to hold or refuse.

Requests share parts of their prompts. When a target crashes, each part of a request that had not
proven itself there is suspected, unless the part was in a successful request shortly before. A part
is blocked once a request that was sent after one crash waited at another; until then, requests with
the part are sent one at a time. A successful request clears its parts.

Other requests wait at a crashing target as well, so parts may be blocked together. Parts with the
same crashes are tied: a request that has some, but not all, of them is let through to find out, one
at a time.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import math
from collections import abc

import msgspec

from galenavane.fleet import replica_group

BLOCKING_CRASHES = 2
"""A target may also crash by itself, but rarely twice in a row with the same part."""
PROVING_EVENTS = 2
"""A request has proven its parts with so many events: a crash may still follow the first one."""
MAX_CRASHES = 16
MAX_SUSPECTED = 256
MAX_PROVEN = 8_192
JITTER_SHARE = 0.5
"""Entries try an expired part again at different times, up to this share of its block later."""


class Crash(msgspec.Struct, frozen=True):
    """A crash of a group's head while a request with the suspected part waited there.

    :ivar at: monotonic time of the crash.
    :ivar waited_seconds: how long before that the request was sent.
    :ivar reporter: the start of the entry that sent the request.
    :ivar reporter_at: time of the crash on that entry's clock.
    """

    key: replica_group.Key
    at: float
    waited_seconds: float
    reporter: str
    reporter_at: float


@dataclasses.dataclass(slots=True)
class Suspicion:
    """The crashes of one part of prompts.

    :ivar crashes: in order of time.
    :ivar keys: keys of the crashes.
    :ivar counted: number of the crashes that count.
    :ivar probed_at: monotonic time at which a request with the part was last let through.
    :ivar jitter: random number from 0 to 1.
    """

    crashes: list[Crash] = dataclasses.field(default_factory=list)
    keys: frozenset[replica_group.Key] = frozenset()
    counted: int = 0
    probed_at: float = float("-inf")
    jitter: float = 0.0


@dataclasses.dataclass(slots=True)
class Suspects:
    """What one entry knows about parts of prompts; all times are monotonic.

    :ivar proof_seconds: how long a success outweighs a later crash.
    :ivar block_seconds: how long a part is blocked at first; each further crash doubles it.
    :ivar probe_seconds: how long the result of a probe may take.
    :ivar hold_seconds: how long requests are held for the result of a probe.
    :ivar proven: time of the last success by part, oldest first.
    """

    proof_seconds: float
    block_seconds: float
    probe_seconds: float
    hold_seconds: float
    proven: dict[str, float] = dataclasses.field(default_factory=dict)
    suspected: dict[str, Suspicion] = dataclasses.field(default_factory=dict)


class Verdict(enum.Enum):
    """What to do with a request.

    A request that is held is decided on again when what is known of its parts has changed, or when
    the time to hold it is over.
    """

    ADMIT = "admit"
    PROBE = "probe"
    HOLD = "hold"
    REFUSE = "refuse"


class Decision(msgspec.Struct, frozen=True):
    """A verdict on a request, with the parts that it is about.

    :ivar until: monotonic time until which a request is held.
    """

    verdict: Verdict
    parts: tuple[str, ...] = ()
    until: float = 0.0


_ADMIT = Decision(Verdict.ADMIT)


def record_success(suspects: Suspects, parts: abc.Iterable[str], now: float) -> tuple[str, ...]:
    """Record that a request with these parts succeeded; return those that were suspected."""
    cleared: list[str] = []
    for part in parts:
        suspects.proven.pop(part, None)
        suspects.proven[part] = now
        if suspects.suspected.pop(part, None) is not None:
            cleared.append(part)
    while len(suspects.proven) > MAX_PROVEN:
        del suspects.proven[next(iter(suspects.proven))]
    return tuple(cleared)


def find_unproven(suspects: Suspects, parts: abc.Iterable[str], now: float) -> tuple[str, ...]:
    """Return the parts that a crash now makes suspects."""
    return tuple(
        part
        for part in parts
        if now - suspects.proven.get(part, -math.inf) > suspects.proof_seconds
    )


def record_crash(
    suspects: Suspects, part: str, crash: Crash, is_own: bool, jitter: float, now: float
) -> bool:
    """Record a crash; return whether it was unknown.

    :param is_own: whether this entry saw it. Otherwise the reporter's next try is a probe.
    :param jitter: random number from 0 to 1, used if the part was not suspected.
    """
    if is_disproved(suspects, part, crash.at):
        return False
    suspicion = suspects.suspected.get(part)
    if suspicion is None:
        suspicion = Suspicion(jitter=jitter)
    # The request that was sent last decides whether the crash counts.
    same = [known for known in suspicion.crashes if known.key == crash.key]
    if any(known.waited_seconds <= crash.waited_seconds for known in same):
        return False
    others = [known for known in suspicion.crashes if known.key != crash.key]
    crashes = _align([*others, crash], crash.reporter)
    suspicion.crashes = sorted(crashes, key=lambda known: known.at)[-MAX_CRASHES:]
    suspicion.keys = frozenset(known.key for known in suspicion.crashes)
    suspicion.counted = _count(suspicion.crashes)
    if not is_own and suspicion.counted < BLOCKING_CRASHES:
        suspicion.probed_at = max(suspicion.probed_at, crash.at)
    suspects.suspected[part] = suspicion
    drop_expired(suspects, now)
    while len(suspects.suspected) > MAX_SUSPECTED:
        del suspects.suspected[min(suspects.suspected, key=functools.partial(_rank, suspects))]
    return part in suspects.suspected


def _rank(suspects: Suspects, part: str) -> tuple[int, float]:
    """Return the sort key of a suspected part: the least suspected and oldest first."""
    suspicion = suspects.suspected[part]
    return suspicion.counted, suspicion.crashes[-1].at


def is_disproved(suspects: Suspects, part: str, crashed_at: float) -> bool:
    """Whether a request with the part succeeded after a crash."""
    return crashed_at <= suspects.proven.get(part, -math.inf)


def record_probe(suspects: Suspects, part: str, probed_at: float) -> bool:
    """Record that a request with a suspected part was let through.

    :returns: whether the other entries have to know it, and it is not the report of one of them
        about a probe that is known.
    """
    suspicion = suspects.suspected.get(part)
    if suspicion is None or probed_at < suspicion.probed_at + suspects.hold_seconds:
        return False
    suspicion.probed_at = probed_at
    return is_blocked(suspects, part)


def _count(crashes: list[Crash]) -> int:
    """Return the number of crashes that count.

    Many heads may be lost at once for another reason. A crash counts only if its request was sent
    after the crash before it, since then the request is what the two have in common.
    """
    counted = 0
    counted_at = -math.inf
    for crash in crashes:
        if crash.at - crash.waited_seconds >= counted_at:
            counted += 1
            counted_at = crash.at
    return counted


def _align(crashes: list[Crash], reporter: str) -> list[Crash]:
    """Give the crashes that one entry reported the smallest delay of any of its messages.

    Otherwise a message that was long on its way could hide the order of two crashes.
    """
    offset = min(crash.at - crash.reporter_at for crash in crashes if crash.reporter == reporter)
    return [
        (
            msgspec.structs.replace(crash, at=crash.reporter_at + offset)
            if crash.reporter == reporter
            else crash
        )
        for crash in crashes
    ]


def find_blocked(suspects: Suspects) -> list[str]:
    """Return the parts with which requests are refused."""
    return [part for part in suspects.suspected if is_blocked(suspects, part)]


def is_blocked(suspects: Suspects, part: str) -> bool:
    """Whether requests with a part are refused, unless they are probes."""
    suspicion = suspects.suspected.get(part)
    if suspicion is None or suspicion.counted < BLOCKING_CRASHES:
        return False
    if _is_outweighed(suspects, part, suspicion):
        return False
    return not any(
        other.counted >= BLOCKING_CRASHES
        and suspicion.keys < other.keys
        and not _is_outweighed(suspects, other_part, other)
        for other_part, other in suspects.suspected.items()
    )


def _is_outweighed(suspects: Suspects, part: str, suspicion: Suspicion) -> bool:
    """Whether a request with the part succeeded here shortly before its last crash."""
    proven_at = suspects.proven.get(part, -math.inf)
    return suspicion.crashes[-1].at - proven_at <= suspects.proof_seconds


def decide(suspects: Suspects, parts: abc.Sequence[str], now: float) -> Decision:
    """Decide on a request; the sender records a probe when it sends the request."""
    if not suspects.suspected:
        return _ADMIT
    suspected = [part for part in parts if part in suspects.suspected]
    blocked = [part for part in suspected if is_blocked(suspects, part)]
    for part in blocked:
        if not _may_probe(suspects, part, parts, now):
            return Decision(Verdict.REFUSE, (part,))
    probed = [part for part in suspected if part in blocked or _is_doubtful(suspects, part)]
    for part in probed:
        until = _held_until(suspects, part, now)
        if now < until:
            return Decision(Verdict.HOLD, (part,), until)
    return Decision(Verdict.PROBE, tuple(probed)) if probed else _ADMIT


def _is_doubtful(suspects: Suspects, part: str) -> bool:
    """Whether a part waited at a crash, but not at enough of them to be blocked."""
    suspicion = suspects.suspected.get(part)
    return (
        suspicion is not None
        and suspicion.counted < BLOCKING_CRASHES
        and not _is_outweighed(suspects, part, suspicion)
    )


def _may_probe(suspects: Suspects, part: str, parts: abc.Sequence[str], now: float) -> bool:
    """Whether a request with a blocked part may be let through, if need be later."""
    suspicion = suspects.suspected[part]
    if now >= _expires_at(suspects, suspicion):
        return not _is_probed(suspicion, now, suspects.probe_seconds)
    explained = {
        key
        for other_part, other in suspects.suspected.items()
        if other_part not in parts and not _is_outweighed(suspects, other_part, other)
        for key in other.keys
    }
    # The request lacks parts that waited at all of these crashes as well.
    return suspicion.keys <= explained


def _held_until(suspects: Suspects, part: str, now: float) -> float:
    """Return until when to hold a request with a part that may be probed, at the earliest now.

    The probe is the first request after a crash, mostly the next try of one that waited there. For
    parts that are tied it is the first one of any entry, so the entries begin at different times.
    """
    suspicion = suspects.suspected[part]
    if suspicion.counted < BLOCKING_CRASHES:
        return max(now, suspicion.probed_at + suspects.hold_seconds)
    if now >= _expires_at(suspects, suspicion):
        return now
    tied = [suspects.suspected[tied_part] for tied_part in _find_tied(suspects, suspicion)]
    pending = [
        other.probed_at + suspects.hold_seconds
        for other in (suspicion, *tied)
        if _is_probed(other, now, suspects.hold_seconds)
    ]
    delay = JITTER_SHARE * suspicion.jitter * suspects.hold_seconds
    return max(now, suspicion.crashes[-1].at + delay, *pending)


def _is_probed(suspicion: Suspicion, now: float, seconds: float) -> bool:
    """Whether a probe was sent in the last seconds and has not ended with a crash."""
    return suspicion.probed_at >= suspicion.crashes[-1].at and now < suspicion.probed_at + seconds


def _find_tied(suspects: Suspects, suspicion: Suspicion) -> list[str]:
    """Return the other parts that waited at all crashes of a blocked one."""
    return [
        part
        for part, other in suspects.suspected.items()
        if other is not suspicion
        and other.keys >= suspicion.keys
        and not _is_outweighed(suspects, part, other)
    ]


def _expires_at(suspects: Suspects, suspicion: Suspicion) -> float:
    """Return when a part may be tried again: after each further crash only in twice the time."""
    doublings = max(0, suspicion.counted - BLOCKING_CRASHES)
    seconds = suspects.block_seconds * 2.0**doublings * (1 + JITTER_SHARE * suspicion.jitter)
    return max(suspicion.crashes[-1].at + seconds, suspicion.probed_at + suspects.block_seconds)


def drop_expired(suspects: Suspects, now: float) -> None:
    """Drop suspicions that no crash has confirmed for long."""
    for part, suspicion in list(suspects.suspected.items()):
        if now > _expires_at(suspects, suspicion) + suspects.block_seconds:
            del suspects.suspected[part]
