"""State machine of one entry for the lease of its data centre."""

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
    """One entry's knowledge of the lease. All times are of its own monotonic clock, in seconds.

    :ivar version: platform version of the lease object as last seen.
    :ivar value: value of this version, ``None`` if the object did not exist.
    :ivar version_seen_at: time at which this version was first seen.
    :ivar held_until: end of this entry's lease; 0 if it is not held.
    :ivar last_write_at: time at which the write that last extended the lease was sent.
    :ivar is_read_due: whether the lease object has to be read before any other action.
    :ivar highest_token: highest fencing token seen anywhere; no token below it is used.
    :ivar claim_blocked_until: time before which the lease is not claimed even if it appears free,
        because the platform returned older data than before or a higher token was seen elsewhere.
    :ivar last_renewal: highest renewal number used by this entry.
    :ivar pending_writes: time of sending of each write with unknown outcome, by renewal number.
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
    """Right to control the targets of the data centre.

    :ivar token: fencing token.
    :ivar held_until: end of the lease on the holder's monotonic clock, in seconds.
    """

    token: int
    held_until: float


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """Action: read the lease object."""


@dataclasses.dataclass(slots=True, frozen=True)
class Watch:
    """Action: watch the lease object for a change.

    :ivar wait_seconds: longest wait.
    """

    wait_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """Action: write the lease object if its version is still the given one."""

    value: lease_value.LeaseValue
    if_version: int


Action = Read | Write | Watch


def next_action(state: State, now: float) -> Action | None:
    """Return the next action, or ``None`` while the lease is held and needs no renewal yet."""
    if state.is_read_due:
        return Read()
    if _is_usable(state):
        due = now >= state.last_write_at + RENEWAL_INTERVAL_SECONDS
        return _make_renewal(state) if due else None
    claimable_at = _compute_claimable_at(state)
    if now >= claimable_at:
        return Write(_make_claim(state), state.version)
    return Watch(min(MAX_WATCH_SECONDS, max(MIN_WATCH_SECONDS, claimable_at - now)))


def record_write_sent(state: State, write: Write, now: float) -> None:
    """Record that a write is being sent; each attempt has a unique renewal number."""
    state.last_renewal = max(state.last_renewal, write.value.renewal)
    state.pending_writes[write.value.renewal] = now


def record_read(
    state: State, version: int, value: lease_value.LeaseValue | None, now: float
) -> bool:
    """Record the lease object as read; return whether it is older than one seen before."""
    state.is_read_due = False
    if version == state.version:
        return False
    is_older = version < state.version or _get_value_token(value) < state.highest_token
    if is_older:
        state.claim_blocked_until = now + SUCCESSOR_WAIT_SECONDS
    state.version = version
    state.value = value
    state.version_seen_at = now
    state.highest_token = max(state.highest_token, _get_value_token(value))
    if value is None or not is_holder(state):
        state.held_until = 0.0
    elif value.renewal in state.pending_writes:
        _extend_from(state, state.pending_writes[value.renewal])
    return is_older


def record_written(state: State, version: int, value: lease_value.LeaseValue) -> None:
    """Record that a write of this entry took effect."""
    state.version = version
    state.value = value
    state.highest_token = max(state.highest_token, value.token)
    if value.holder:
        _extend_from(state, state.pending_writes[value.renewal])
    else:
        state.held_until = 0.0


def require_read(state: State) -> None:
    """Require a read of the lease object, after a conflict or a lost response."""
    state.is_read_due = True


def record_no_answer(state: State, now: float) -> None:
    """Record that the platform did not answer; the holder could not renew its lease either.

    The wait for the end of its lease restarts. After an outage the holder can therefore continue,
    with a table that may be newer than the platform's, and other entries do not claim at once.
    """
    state.is_read_due = True
    if not is_holder(state):
        state.version_seen_at = now


def raise_highest_token(state: State, token: int, now: float) -> bool:
    """Record a fencing token reported by a target or table; return whether it is the highest."""
    if token <= state.highest_token:
        return False
    state.highest_token = token
    state.claim_blocked_until = now + SUCCESSOR_WAIT_SECONDS
    return True


def get_grant(state: State) -> Grant | None:
    """Return the last grant while no other entry is known to hold the lease.

    The grant may have expired.
    """
    if state.value is None or not _is_usable(state):
        return None
    return Grant(state.value.token, state.held_until)


def get_token(state: State, now: float) -> int | None:
    """Return the fencing token while the lease is held and has not expired, else ``None``."""
    grant = get_grant(state)
    return grant.token if grant is not None and now < grant.held_until else None


def is_holder(state: State) -> bool:
    """Whether the lease value last seen names this entry and incarnation as its holder."""
    value = state.value
    return value is not None and (value.holder, value.incarnation) == (
        state.name,
        state.incarnation,
    )


def make_release(state: State) -> Write | None:
    """Return the write that releases the lease, or ``None`` if this entry is not its holder."""
    if state.value is None or not is_holder(state):
        return None
    value = lease_value.LeaseValue("", "", state.highest_token, _next_renewal(state))
    return Write(value, state.version)


def _is_usable(state: State) -> bool:
    return is_holder(state) and _get_value_token(state.value) >= state.highest_token


def _get_value_token(value: lease_value.LeaseValue | None) -> int:
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


def _compute_claimable_at(state: State) -> float:
    if state.value is None or not state.value.holder or is_holder(state):
        return state.claim_blocked_until
    return max(state.version_seen_at + SUCCESSOR_WAIT_SECONDS, state.claim_blocked_until)


def _make_claim(state: State) -> lease_value.LeaseValue:
    return lease_value.LeaseValue(
        state.name, state.incarnation, state.highest_token + 1, _next_renewal(state)
    )


def _make_renewal(state: State) -> Write:
    assert state.value is not None
    value = state.value
    renewed = lease_value.LeaseValue(
        value.holder, value.incarnation, value.token, _next_renewal(state)
    )
    return Write(renewed, state.version)


def _next_renewal(state: State) -> int:
    last = state.value.renewal if state.value is not None else 0
    return max(last, state.last_renewal) + 1
