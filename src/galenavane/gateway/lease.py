"""Decides which entry commands the targets.

The lease is one object of the store, changed under its revision. It is short, for its holder
may be stopped at any moment; that two holders overlap is harmless, since targets refuse the
commands of the one with the lower number.
"""

from __future__ import annotations

import dataclasses

import msgspec

RENEW_SECONDS = 0.8
"""Costs a write each time; a successor waits for two of them."""
HOLD_SECONDS = 2.4
"""From sending the last renewal that was acknowledged."""
CLAIM_SECONDS = 1.8
"""The lease of a holder never heard is free after two missed renewals and a margin."""
READ_SECONDS = 0.3
"""Between two reads of a lease whose holder is not heard."""
REST_SECONDS = 4.0
"""After losing the lease to another entry, before it is claimed again."""


class Value(msgspec.Struct, frozen=True):
    """The lease as stored.

    :ivar holder: name and incarnation, empty when given up.
    :ivar renewal: changes with each renewal.
    """

    holder: str
    token: int
    renewal: int


@dataclasses.dataclass(slots=True)
class Lease:
    """What one entry knows of the lease; times are boot times.

    :ivar revision: of the object, 0 when it doesn't exist, -1 before the first read.
    :ivar unchanged_since: when this revision was first seen.
    :ivar held_until: end of the own lease.
    """

    me: str
    revision: int = -1
    value: Value = dataclasses.field(default_factory=lambda: Value("", 0, 0))
    unchanged_since: float = float("-inf")
    read_at: float = float("-inf")
    sent_at: float = float("-inf")
    held_until: float = float("-inf")
    rest_until: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Holder:
    """The holder of the lease, as the entries tell each other.

    :ivar token: highest lease number heard.
    :ivar seen_at: boot time at which its holder last said that it commands.
    """

    token: int = 0
    seen_at: float = float("-inf")


def note_holder(state: Holder, token: int, seen_at: float) -> None:
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

    value: Value
    revision: int


def next_command(
    state: Lease, is_holder_heard: bool, is_holder_gone: bool, now: float
) -> Read | Write | None:
    """Return what to do now.

    :param is_holder_heard: the holder lately told this entry that it commands.
    :param is_holder_gone: the holder was heard before, and no longer is.
    """
    if state.revision < 0:
        return Read()
    if is_own(state):
        due = now >= state.sent_at + RENEW_SECONDS
        return _renew(state) if due else None
    if now < state.rest_until or is_holder_heard:
        return None
    is_free = not state.value.holder
    if is_holder_gone:
        # One read makes sure that nobody else has claimed it meanwhile.
        is_over = state.read_at >= now - READ_SECONDS
    else:
        since = state.unchanged_since
        is_over = now >= since + CLAIM_SECONDS and state.read_at >= since + CLAIM_SECONDS
    if is_free or is_over:
        return Write(Value(state.me, state.value.token + 1, 0), state.revision)
    return Read() if now >= state.read_at + READ_SECONDS else None


def observe(state: Lease, revision: int, value: Value, now: float) -> bool:
    """Take in a read or a conflict; return whether the own lease was lost."""
    was_own = is_own(state)
    state.read_at = now
    if revision != state.revision:
        state.revision = revision
        state.value = value
        state.unchanged_since = now
    lost = was_own and not is_own(state)
    if lost:
        state.held_until = float("-inf")
        state.rest_until = now + REST_SECONDS
    return lost


def written(state: Lease, revision: int, value: Value, sent_at: float) -> None:
    """Take in that a write took effect."""
    state.revision = revision
    state.value = value
    state.unchanged_since = sent_at
    state.held_until = sent_at + HOLD_SECONDS if value.holder else float("-inf")


def unsettled(state: Lease) -> None:
    """Take in that a write's effect is not known; it has to be read."""
    state.revision = -1


def is_own(state: Lease) -> bool:
    """Whether the lease as last seen names this entry."""
    return bool(state.me) and state.value.holder == state.me


def is_held(state: Lease, now: float) -> bool:
    """Whether the own lease has not run out."""
    return is_own(state) and now < state.held_until


def release(state: Lease) -> Write | None:
    """Return the write that gives the lease up."""
    if not is_own(state) or state.revision < 0:
        return None
    return Write(Value("", state.value.token, state.value.renewal + 1), state.revision)


def _renew(state: Lease) -> Write:
    return Write(Value(state.me, state.value.token, state.value.renewal + 1), state.revision)
