"""Decides when a starting entry may put a configuration in force."""

from __future__ import annotations

import dataclasses

PEER_WAIT_SECONDS = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class StartupState:
    """What a starting entry knows of configurations and other entries.

    :ivar first_answer_at: monotonic time of the first answer of the platform or a peer, in seconds;
        infinite before.
    :ivar best_generation: highest generation that the entry has received, 0 for none.
    :ivar is_platform_read: whether the platform's head and registrations were read since the start.
    :ivar registered_entries: other entries of the data centre that are registered at the platform.
    :ivar heard_entries: other entries from which a message arrived since the start.
    :ivar heard_generation: highest generation in force on one of the heard entries.
    """

    first_answer_at: float
    best_generation: int
    is_platform_read: bool
    registered_entries: frozenset[str]
    heard_entries: frozenset[str]
    heard_generation: int


def may_start(state: StartupState, now: float) -> bool:
    """Whether the entry may put the newest configuration that it has received in force.

    It may not while a heard entry has a higher generation in force. It may once the platform was
    read and all registered entries were heard, or ``PEER_WAIT_SECONDS`` after the first answer.
    Without any answer it never may: it serves nothing and its ``/readyz`` fails.
    """
    if state.best_generation < max(1, state.heard_generation):
        return False
    if state.is_platform_read and state.registered_entries <= state.heard_entries:
        return True
    has_any_answer = state.is_platform_read or bool(state.heard_entries)
    return has_any_answer and now >= state.first_answer_at + PEER_WAIT_SECONDS
