"""How fresh an entry's word of the configuration is.

A key that was removed must not work for long anywhere, so an entry that can't vouch for its
configuration stops using it. Ages are kept on a clock that counts suspension, and peers tell
ages rather than times, so that neither clock steps nor freezes make old knowledge look new.
"""

from __future__ import annotations

import dataclasses

from galenavane.catalog import catalog

MAX_WATCH_DELAY_SECONDS = 1.0
"""Changes may reach a watch this late when the store drops its history."""
SEND_MARGIN_SECONDS = 0.3
"""From the check of a key until its request has reached a target."""
STALE_AFTER_SECONDS = 1.8
"""Older knowledge may lack a route or key that is in force, so its lack proves nothing."""


@dataclasses.dataclass(slots=True)
class ConfigState:
    """What an entry knows of the configuration.

    :ivar raw: the configuration as stored, to pass on to peers.
    :ivar confirmed_at: latest boot time at which this version was in force, by the store's
        word or a peer's.
    :ivar store_answered_at: latest boot time at which the store answered.
    """

    catalog: catalog.Catalog | None = None
    raw: bytes = b""
    confirmed_at: float = float("-inf")
    store_answered_at: float = float("-inf")

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return self.catalog.version if self.catalog is not None else 0


def update(state: ConfigState, candidate: catalog.Catalog, raw: bytes, as_of: float) -> bool:
    """Take in a version that was in force at a time; return whether it is news."""
    if candidate.version < state.version:
        return False
    is_news = candidate.version > state.version
    if is_news:
        state.catalog = candidate
        state.raw = raw
        state.confirmed_at = as_of
    state.confirmed_at = max(state.confirmed_at, as_of)
    return is_news


def confirm(state: ConfigState, as_of: float) -> None:
    """Take in that the version in force was still the newest at a time."""
    state.confirmed_at = max(state.confirmed_at, as_of)


def may_use_keys(state: ConfigState, revoke_seconds: float, now: float) -> bool:
    """Whether a key of the version in force may still be used."""
    limit = revoke_seconds - MAX_WATCH_DELAY_SECONDS - SEND_MARGIN_SECONDS
    return state.catalog is not None and now - state.confirmed_at <= limit


def is_fresh(state: ConfigState, now: float) -> bool:
    """Whether a route or key that the version in force lacks does not exist."""
    return state.catalog is not None and now - state.confirmed_at <= STALE_AFTER_SECONDS
