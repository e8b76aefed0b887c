"""Decides which entry commands the targets.

The lease is one object of the store, changed under its revision. It is short, for its holder
may be stopped at any moment; that two holders overlap is harmless, since targets refuse the
commands of the one with the lower number.
"""

from __future__ import annotations

import dataclasses

import msgspec

RENEW_INTERVAL_SECONDS = 0.8
"""Costs a write each time; a successor waits for two of them."""
LEASE_SECONDS = 2.4
"""From sending the last renewal that was acknowledged."""
CLAIM_DELAY_SECONDS = 1.8
"""The lease of a holder never heard is free after two missed renewals and a margin."""
READ_INTERVAL_SECONDS = 0.3
"""Between two reads of a lease whose holder is not heard."""
RECLAIM_DELAY_SECONDS = 4.0
"""After losing the lease to another entry, before it is claimed again."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """The lease as stored.

    :ivar holder: name and incarnation, empty when given up.
    :ivar renewal: changes with each renewal.
    """

    holder: str
    token: int
    renewal: int


@dataclasses.dataclass(slots=True)
class LeaseState:
    """What one entry knows of the lease; times are boot times.

    :ivar revision: of the object, 0 when it doesn't exist, -1 before the first read.
    :ivar unchanged_since: when this revision was first seen.
    :ivar held_until: end of the own lease.
    """

    own_id: str
    revision: int = -1
    record: LeaseRecord = dataclasses.field(default_factory=lambda: LeaseRecord("", 0, 0))
    unchanged_since: float = float("-inf")
    read_at: float = float("-inf")
    sent_at: float = float("-inf")
    held_until: float = float("-inf")
    reclaim_at: float = float("-inf")


@dataclasses.dataclass(slots=True)
class HolderReport:
    """The holder of the lease, as the entries tell each other.

    :ivar token: highest lease number heard.
    :ivar seen_at: boot time at which its holder last said that it commands.
    """

    token: int = 0
    seen_at: float = float("-inf")


def record_holder_report(state: HolderReport, token: int, seen_at: float) -> None:
    """Take in a lease number in use, and when its holder said so."""
    if token > state.token:
        state.token = token
        state.seen_at = seen_at
    elif token == state.token and token > 0:
        state.seen_at = max(state.seen_at, seen_at)


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """Command: read the lease."""


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """Command: write the lease, if its revision is still the known one."""

    record: LeaseRecord
    revision: int


def next_action(
    state: LeaseState, is_holder_alive: bool, is_holder_lost: bool, now: float
) -> Read | Write | None:
    """Return what to do now.

    :param is_holder_alive: the holder lately told this entry that it commands.
    :param is_holder_lost: the holder was heard before, and no longer is.
    """
    if state.revision < 0:
        return Read()
    if is_recorded_holder(state):
        is_due = now >= state.sent_at + RENEW_INTERVAL_SECONDS
        return _make_renewal(state) if is_due else None
    if now < state.reclaim_at or is_holder_alive:
        return None
    is_free = not state.record.holder
    if is_holder_lost:
        # One read makes sure that nobody else has claimed it meanwhile.
        is_expired = state.read_at >= now - READ_INTERVAL_SECONDS
    else:
        unchanged_since = state.unchanged_since
        is_expired = (
            now >= unchanged_since + CLAIM_DELAY_SECONDS
            and state.read_at >= unchanged_since + CLAIM_DELAY_SECONDS
        )
    if is_free or is_expired:
        return Write(LeaseRecord(state.own_id, state.record.token + 1, 0), state.revision)
    return Read() if now >= state.read_at + READ_INTERVAL_SECONDS else None


def observe(state: LeaseState, revision: int, record: LeaseRecord, now: float) -> bool:
    """Take in a read or a conflict; return whether the own lease was lost."""
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
    """Take in that a write took effect."""
    state.revision = revision
    state.record = record
    state.unchanged_since = sent_at
    state.held_until = sent_at + LEASE_SECONDS if record.holder else float("-inf")


def mark_write_unknown(state: LeaseState) -> None:
    """Take in that a write's effect is not known; it has to be read."""
    state.revision = -1


def is_recorded_holder(state: LeaseState) -> bool:
    """Whether the lease as last seen names this entry."""
    return bool(state.own_id) and state.record.holder == state.own_id


def is_held(state: LeaseState, now: float) -> bool:
    """Whether the own lease has not run out."""
    return is_recorded_holder(state) and now < state.held_until


def make_release(state: LeaseState) -> Write | None:
    """Return the write that gives the lease up."""
    if not is_recorded_holder(state) or state.revision < 0:
        return None
    return Write(LeaseRecord("", state.record.token, state.record.renewal + 1), state.revision)


def _make_renewal(state: LeaseState) -> Write:
    return Write(
        LeaseRecord(state.own_id, state.record.token, state.record.renewal + 1), state.revision
    )
