"""Tracks an entry's configuration and when it was last confirmed as current.

A removed key must stop working everywhere within a bound, so an entry that can't confirm its
configuration stops accepting keys. Ages are measured on a clock that counts suspended time, and
peers exchange ages rather than timestamps, so that neither clock steps nor frozen processes make
an old configuration look current.
"""

from __future__ import annotations

import dataclasses

from galenavane.catalog import catalog

MAX_WATCH_DELAY_SECONDS = 1.0
"""How late a watch may report a change when the store drops its history."""
SEND_MARGIN_SECONDS = 0.3
"""Time from the check of a key until its request has reached a target."""
STALE_AFTER_SECONDS = 1.8
"""A configuration confirmed longer ago may lack a route or key that is already in force."""


@dataclasses.dataclass(slots=True)
class ConfigState:
    """An entry's configuration and how current it is; times are ``boot_clock`` times in seconds.

    :ivar catalog: the decoded configuration, ``None`` before the first one.
    :ivar raw: the configuration as stored, to send to peers.
    :ivar confirmed_at: latest time at which this version was in force, according to the store
        or a peer.
    :ivar store_answered_at: latest time at which the store answered this entry or a peer.
    :ivar own_answered_at: latest time at which the store answered this entry.
    """

    catalog: catalog.Catalog | None = None
    raw: bytes = b""
    confirmed_at: float = float("-inf")
    store_answered_at: float = float("-inf")
    own_answered_at: float = float("-inf")

    @property
    def version(self) -> int:
        """Version of the configuration, 0 before the first one."""
        return self.catalog.version if self.catalog is not None else 0


def update(state: ConfigState, candidate: catalog.Catalog, raw: bytes, as_of: float) -> bool:
    """Replace the configuration by a newer version, or confirm the same version.

    An older version is ignored.

    :param as_of: ``boot_clock`` time in seconds at which the candidate was in force.
    :returns: whether the candidate is newer.
    """
    if candidate.version < state.version:
        return False
    is_newer = candidate.version > state.version
    if is_newer:
        state.catalog = candidate
        state.raw = raw
        state.confirmed_at = as_of
    state.confirmed_at = max(state.confirmed_at, as_of)
    return is_newer


def confirm(state: ConfigState, as_of: float) -> None:
    """Record that the known version was still in force at a ``boot_clock`` time in seconds."""
    state.confirmed_at = max(state.confirmed_at, as_of)


def record_store_answer(state: ConfigState, now: float) -> None:
    """Record that the store answered this entry."""
    state.store_answered_at = now
    state.own_answered_at = now


def may_use_keys(state: ConfigState, revoke_seconds: float, now: float) -> bool:
    """Whether the configuration was confirmed recently enough to accept its keys.

    :param revoke_seconds: how long a removed key may work.
    """
    max_age_seconds = revoke_seconds - MAX_WATCH_DELAY_SECONDS - SEND_MARGIN_SECONDS
    return state.catalog is not None and now - state.confirmed_at <= max_age_seconds


def is_fresh(state: ConfigState, now: float) -> bool:
    """Whether a route or key that the configuration lacks is known not to exist."""
    return state.catalog is not None and now - state.confirmed_at <= STALE_AFTER_SECONDS
