"""Decides when an entry holds the lease of its data centre."""

from __future__ import annotations

import dataclasses

from galenavane.store import lease_value

DURATION_SECONDS = 6.0
RENEWAL_INTERVAL_SECONDS = 2.0
DRIFT_MARGIN_SECONDS = 0.5
TRANSIT_MARGIN_SECONDS = 1.0
SUCCESSOR_WAIT_SECONDS = DURATION_SECONDS + DRIFT_MARGIN_SECONDS + TRANSIT_MARGIN_SECONDS
MAX_WATCH_SECONDS = 5.0
MIN_WATCH_SECONDS = 0.05


@dataclasses.dataclass(slots=True)
class State:
    """What one entry knows of the lease.

    :ivar version: platform version of the value last seen.
    :ivar version_seen_at: when this version was first seen, on the own monotonic clock.
    :ivar held_until: end of the own lease on the own monotonic clock; 0 when not held.
    :ivar is_read_due: whether the value has to be read before anything else.
    :ivar highest_token: highest fencing token seen anywhere; none below it is used.
    :ivar claim_blocked_until: until when nobody is taken to have given the lease up, because the
        platform showed older data than was seen before.
    :ivar pending_writes: when each own write whose effect isn't known was sent, by renewal number.
    """

    name: str
    incarnation: str
    version: int = 0
    value: lease_value.LeaseValue | None = None
    version_seen_at: float = 0.0
    held_until: float = 0.0
    last_write_at: float = float("-inf")
    is_read_due: bool = True
    highest_token: int = 0
    claim_blocked_until: float = float("-inf")
    last_renewal: int = 0
    pending_writes: dict[int, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """The right to control the targets of the data centre.

    :ivar token: fencing token.
    :ivar held_until: end of the lease on the own monotonic clock.
    """

    token: int
    held_until: float


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """Command: read the lease object."""


@dataclasses.dataclass(slots=True, frozen=True)
class Watch:
    """Command: wait for a change of the lease object."""

    wait_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """Command: write the lease object if its version is still the given one."""

    value: lease_value.LeaseValue
    if_version: int


Action = Read | Write | Watch


def next_action(state: State, now: float) -> Action | None:
    """Return what to do now, or ``None`` while a held lease needs no renewal yet."""
    if state.is_read_due:
        return Read()
    if _is_usable(state):
        due = now >= state.last_write_at + RENEWAL_INTERVAL_SECONDS
        return _renewal_write(state) if due else None
    free_at = _claimable_at(state)
    if now >= free_at:
        return Write(_new_claim(state), state.version)
    return Watch(min(MAX_WATCH_SECONDS, max(MIN_WATCH_SECONDS, free_at - now)))


def record_write_sent(state: State, write: Write, now: float) -> None:
    """Take in that a write is sent now; each attempt has a renewal number of its own."""
    state.last_renewal = max(state.last_renewal, write.value.renewal)
    state.pending_writes[write.value.renewal] = now


def record_read(
    state: State, version: int, value: lease_value.LeaseValue | None, now: float
) -> bool:
    """Take in a read of the lease object; return whether it is older than one seen before."""
    state.is_read_due = False
    if version == state.version:
        return False
    is_older = version < state.version or _token_of(value) < state.highest_token
    if is_older:
        state.claim_blocked_until = now + SUCCESSOR_WAIT_SECONDS
    state.version = version
    state.value = value
    state.version_seen_at = now
    state.highest_token = max(state.highest_token, _token_of(value))
    if value is None or not is_holder(state):
        state.held_until = 0.0
    elif value.renewal in state.pending_writes:
        _extend_from(state, state.pending_writes[value.renewal])
    return is_older


def record_written(state: State, version: int, value: lease_value.LeaseValue) -> None:
    """Take in that an own write took effect."""
    state.version = version
    state.value = value
    state.highest_token = max(state.highest_token, value.token)
    if value.holder:
        _extend_from(state, state.pending_writes[value.renewal])
    else:
        state.held_until = 0.0


def require_read(state: State) -> None:
    """Take in that a write conflicted or that its answer was lost."""
    state.is_read_due = True


def record_no_answer(state: State, now: float) -> None:
    """Take in that the platform did not answer: the holder could not renew either.

    The wait for its lease starts again, so that after an outage the holder goes on, with a
    table that may be ahead of the platform's, and not everybody claims at once.
    """
    state.is_read_due = True
    if not is_holder(state):
        state.version_seen_at = now


def raise_highest_token(state: State, token: int, now: float) -> bool:
    """Take in a fencing token that a target or a table shows; return whether it is news."""
    if token <= state.highest_token:
        return False
    state.highest_token = token
    state.claim_blocked_until = now + SUCCESSOR_WAIT_SECONDS
    return True


def current_grant(state: State) -> Grant | None:
    """Return the last grant while nobody else is known to have the lease, also a lapsed one."""
    if state.value is None or not _is_usable(state):
        return None
    return Grant(state.value.token, state.held_until)


def held_token(state: State, now: float) -> int | None:
    """Return the fencing token while the lease is held, else ``None``."""
    grant = current_grant(state)
    return grant.token if grant is not None and now < grant.held_until else None


def is_holder(state: State) -> bool:
    """Whether the value last seen names this entry and incarnation."""
    value = state.value
    return value is not None and (value.holder, value.incarnation) == (
        state.name,
        state.incarnation,
    )


def release(state: State) -> Write | None:
    """Return the write that gives the lease up, or ``None`` when it is not held."""
    if state.value is None or not is_holder(state):
        return None
    value = lease_value.LeaseValue("", "", state.highest_token, _next_renewal(state))
    return Write(value, state.version)


def _is_usable(state: State) -> bool:
    return is_holder(state) and _token_of(state.value) >= state.highest_token


def _token_of(value: lease_value.LeaseValue | None) -> int:
    return value.token if value is not None else 0


def _extend_from(state: State, sent_at: float) -> None:
    assert state.value is not None
    state.version_seen_at = sent_at
    state.last_write_at = sent_at
    state.held_until = sent_at + DURATION_SECONDS - DRIFT_MARGIN_SECONDS
    renewal = state.value.renewal
    state.pending_writes = {
        number: at for number, at in state.pending_writes.items() if number > renewal
    }


def _claimable_at(state: State) -> float:
    if state.value is None or not state.value.holder or is_holder(state):
        return state.claim_blocked_until
    return max(state.version_seen_at + SUCCESSOR_WAIT_SECONDS, state.claim_blocked_until)


def _new_claim(state: State) -> lease_value.LeaseValue:
    return lease_value.LeaseValue(
        state.name, state.incarnation, state.highest_token + 1, _next_renewal(state)
    )


def _renewal_write(state: State) -> Write:
    assert state.value is not None
    value = state.value
    renewed = lease_value.LeaseValue(
        value.holder, value.incarnation, value.token, _next_renewal(state)
    )
    return Write(renewed, state.version)


def _next_renewal(state: State) -> int:
    last = state.value.renewal if state.value is not None else 0
    return max(last, state.last_renewal) + 1
