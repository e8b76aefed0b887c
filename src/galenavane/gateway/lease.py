"""Lease that decides which entry commands the targets.

The lease is one object in the store, written only if its revision is unchanged. It is short
because its holder may be stopped at any moment. Two holders that overlap are harmless, since
targets refuse the commands of the one with the lower fencing token.
"""

from __future__ import annotations

import dataclasses
from collections import abc

import msgspec

from galenavane.net import untrusted_json

RENEW_INTERVAL_SECONDS = 0.8
"""Each renewal costs a write to the store, and a successor waits for two missed renewals."""
LEASE_SECONDS = 2.4
"""Validity of the lease, from when the last acknowledged renewal was sent."""
CLAIM_DELAY_SECONDS = 1.8
"""Delay after the last change of a lease before its claim, if no heartbeat reported its holder.

It covers two missed renewals and a margin. It is shorter than ``LEASE_SECONDS``, so the successor
may overlap with a holder that is still running, which is harmless as described above.
"""
READ_INTERVAL_SECONDS = 0.3
"""Interval between reads of the lease while no recent heartbeat reports its holder."""
CANDIDATE_HEAD_START_SECONDS = 1.5
"""How long entries that are no relays leave the claim to the relays, so that hundreds of entries do
not read and write the lease at the moment at which they all miss its holder."""
RECLAIM_DELAY_SECONDS = 4.0
"""Delay after losing the lease to another entry before claiming it again."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """The lease as stored.

    :ivar holder: ``name/incarnation`` of the holding entry, empty after a release. The
        incarnation is a random id that an entry gets at each start of its process.
    :ivar token: fencing token, higher for each new holder.
    :ivar renewal: changes with each renewal.
    """

    holder: str
    token: untrusted_json.Count
    renewal: untrusted_json.Count


@dataclasses.dataclass(slots=True)
class LeaseState:
    """What one entry knows of the lease; times are ``boot_clock`` times in seconds.

    :ivar own_id: ``name/incarnation`` of this entry.
    :ivar revision: of the object, 0 if it doesn't exist, -1 if it has to be read.
    :ivar record: the lease as last seen.
    :ivar unchanged_since: when this revision was first seen.
    :ivar read_at: when the lease was last read.
    :ivar sent_at: when this entry last sent a write.
    :ivar held_until: when this entry's own lease expires.
    :ivar reclaim_at: when this entry may claim the lease again after losing it.
    :ivar unled_since: since when no live holder is known, ``None`` while there is one.
    """

    own_id: str
    revision: int = -1
    record: LeaseRecord = dataclasses.field(default_factory=lambda: LeaseRecord("", 0, 0))
    unchanged_since: float = float("-inf")
    read_at: float = float("-inf")
    sent_at: float = float("-inf")
    held_until: float = float("-inf")
    reclaim_at: float = float("-inf")
    unled_since: float | None = None


@dataclasses.dataclass(slots=True)
class HolderReport:
    """What the entries report to each other in heartbeats about the holder of the lease.

    :ivar token: highest fencing token reported.
    :ivar seen_at: ``boot_clock`` time in seconds at which its holder last reported that it holds
        the lease.
    """

    token: int = 0
    seen_at: float = float("-inf")


def record_holder_report(state: HolderReport, token: int, seen_at: float) -> None:
    """Record a fencing token in use, and when its holder last reported it."""
    if token > state.token:
        state.token = token
        state.seen_at = seen_at
    elif token == state.token and token > 0:
        state.seen_at = max(state.seen_at, seen_at)


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """Action: read the lease."""


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """Action: write the lease if its revision is still the known one."""

    record: LeaseRecord
    revision: int


def record_holder_state(state: LeaseState, is_holder_alive: bool, now: float) -> None:
    """Record whether a live holder is known now."""
    if is_holder_alive:
        state.unled_since = None
    elif state.unled_since is None:
        state.unled_since = now


def next_action(
    state: LeaseState,
    is_holder_alive: bool,
    is_holder_lost: bool,
    now: float,
    is_candidate: bool = True,
) -> Read | Write | None:
    """Return the next action, or ``None`` if there is nothing to do yet.

    :param is_holder_alive: whether the holder recently reported that it holds the lease.
    :param is_holder_lost: whether the holder reported before, but no longer does, or its process
        was restarted.
    :param now: ``boot_clock`` time in seconds.
    :param is_candidate: whether this entry claims the lease as soon as it may; the others give the
        candidates a head start.
    """
    if is_recorded_holder(state):
        if state.revision < 0:
            return Read()
        is_due = now >= state.sent_at + RENEW_INTERVAL_SECONDS
        return _make_renewal(state) if is_due else None
    if now < state.reclaim_at or is_holder_alive:
        return None
    if not is_candidate and (
        state.unled_since is None or now < state.unled_since + CANDIDATE_HEAD_START_SECONDS
    ):
        return None
    if state.revision < 0:
        return Read()
    is_free = not state.record.holder
    if is_holder_lost:
        # A recent read shows whether another entry has claimed the lease meanwhile; a write would
        # then fail, because the revision has changed.
        is_claimable = state.read_at >= now - READ_INTERVAL_SECONDS
    else:
        unchanged_since = state.unchanged_since
        is_claimable = (
            now >= unchanged_since + CLAIM_DELAY_SECONDS
            and state.read_at >= unchanged_since + CLAIM_DELAY_SECONDS
        )
    if is_free or is_claimable:
        return Write(LeaseRecord(state.own_id, state.record.token + 1, 0), state.revision)
    return Read() if now >= state.read_at + READ_INTERVAL_SECONDS else None


def observe(state: LeaseState, revision: int, record: LeaseRecord, now: float) -> bool:
    """Record the lease as read, also after a write conflict.

    :returns: whether this entry lost the lease.
    """
    was_own = is_recorded_holder(state)
    state.read_at = now
    if revision != state.revision:
        state.revision = revision
        state.record = record
        state.unchanged_since = now
    is_lost = was_own and not is_recorded_holder(state)
    if is_lost:
        state.held_until = float("-inf")
        state.reclaim_at = now + RECLAIM_DELAY_SECONDS
    return is_lost


def record_write(state: LeaseState, revision: int, record: LeaseRecord, sent_at: float) -> None:
    """Record that this entry's write took effect."""
    state.revision = revision
    state.record = record
    state.unchanged_since = sent_at
    state.held_until = sent_at + LEASE_SECONDS if record.holder else float("-inf")


def mark_write_unknown(state: LeaseState) -> None:
    """Record that a write may or may not have taken effect, so the lease has to be read."""
    state.revision = -1


def is_recorded_holder(state: LeaseState) -> bool:
    """Whether the lease as last seen names this entry as its holder."""
    return bool(state.own_id) and state.record.holder == state.own_id


def is_held(state: LeaseState, now: float) -> bool:
    """Whether this entry holds the lease and the lease has not expired."""
    return is_recorded_holder(state) and now < state.held_until


def may_outlast(is_recorded: bool, peer_count: int, live_store_ages: abc.Sequence[float]) -> bool:
    """Whether a holder that can't renew may go on, since nobody can claim the lease.

    A holder that hears from none of its peers can't know that: it may have been paused while
    another entry claimed the lease.

    :param is_recorded: whether the lease as last seen names this entry as its holder.
    :param peer_count: number of known other entries.
    :param live_store_ages: for each of them that is heard from, seconds since the store answered
        it.
    """
    if not is_recorded or (peer_count > 0 and not live_store_ages):
        return False
    return all(age > LEASE_SECONDS for age in live_store_ages)


def make_release(state: LeaseState) -> Write | None:
    """Return the write that releases the lease.

    :returns: ``None`` if the lease names another entry or its revision isn't known.
    """
    if not is_recorded_holder(state) or state.revision < 0:
        return None
    return Write(LeaseRecord("", state.record.token, state.record.renewal + 1), state.revision)


def _make_renewal(state: LeaseState) -> Write:
    return Write(
        LeaseRecord(state.own_id, state.record.token, state.record.renewal + 1), state.revision
    )
