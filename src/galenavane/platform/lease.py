"""Decides when an entry holds the lease of its data centre."""

from __future__ import annotations

import dataclasses

from galenavane.platform import lease_value

DURATION_SECONDS = 6.0
RENEW_EVERY_SECONDS = 2.0
DRIFT_MARGIN_SECONDS = 0.5
TRANSIT_MARGIN_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class State:
    """What one entry knows of the lease.

    :ivar version: platform version of the value last seen.
    :ivar seen_at: when this version was first seen, on the own monotonic clock.
    :ivar held_until: end of the own lease on the own monotonic clock; 0 when not held.
    :ivar pending: whether a write is under way.
    :ivar read_due: whether the value has to be read before anything else.
    """

    name: str
    incarnation: str
    version: int = 0
    value: lease_value.LeaseValue | None = None
    seen_at: float = 0.0
    held_until: float = 0.0
    last_write_at: float = 0.0
    read_due: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """Command: read the lease object."""


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """Command: write the lease object if its version is still the given one."""

    value: lease_value.LeaseValue
    if_version: int


Command = Read | Write


def next_command(state: State, now: float) -> Command | None:
    """Return what to do now, or ``None``."""
    if state.read_due:
        return Read()
    if is_own(state):
        due = now >= state.last_write_at + RENEW_EVERY_SECONDS
        return _renewal(state) if due else None
    if _is_free(state, now):
        return Write(_claim(state), state.version)
    return Read()


def observe(
    state: State, version: int, value: lease_value.LeaseValue | None, sent_at: float, now: float
) -> None:
    """Take in a read of the lease object that was sent at ``sent_at``."""
    state.read_due = False
    if version == state.version:
        return
    state.version = version
    state.value = value
    state.seen_at = now
    if value is None or value.holder != state.name or value.incarnation != state.incarnation:
        state.held_until = 0.0


def written(state: State, version: int, value: lease_value.LeaseValue, sent_at: float) -> None:
    """Take in that an own write, sent at ``sent_at``, took effect."""
    state.version = version
    state.value = value
    state.seen_at = sent_at
    state.last_write_at = sent_at
    state.held_until = sent_at + DURATION_SECONDS - DRIFT_MARGIN_SECONDS if value.holder else 0.0


def write_unsettled(state: State) -> None:
    """Take in that a write conflicted or that its answer was lost."""
    state.read_due = True


def token(state: State, now: float) -> int | None:
    """Return the fencing token while the lease is held, else ``None``."""
    if state.value is None or now >= state.held_until:
        return None
    return state.value.token


def is_own(state: State) -> bool:
    """Whether the value last seen names this entry and incarnation."""
    value = state.value
    return value is not None and (value.holder, value.incarnation) == (
        state.name,
        state.incarnation,
    )


def release(state: State) -> Write | None:
    """Return the write that gives the lease up, or ``None`` when it is not held."""
    if state.value is None or not is_own(state):
        return None
    renewal = state.value.renewal + 1
    return Write(lease_value.LeaseValue("", "", state.value.token, renewal), state.version)


def _is_free(state: State, now: float) -> bool:
    if state.value is None or not state.value.holder:
        return True
    wait = DURATION_SECONDS + DRIFT_MARGIN_SECONDS + TRANSIT_MARGIN_SECONDS
    return now >= state.seen_at + wait


def _claim(state: State) -> lease_value.LeaseValue:
    last = state.value.token if state.value is not None else 0
    return lease_value.LeaseValue(state.name, state.incarnation, last + 1, 0)


def _renewal(state: State) -> Write:
    assert state.value is not None
    value = state.value
    renewed = lease_value.LeaseValue(
        value.holder, value.incarnation, value.token, value.renewal + 1
    )
    return Write(renewed, state.version)
