"""Decides when a starting entry may put a configuration in force."""

from __future__ import annotations

import dataclasses

PEER_WAIT_SECONDS = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Known:
    """What a starting entry has found out.

    :ivar best_generation: highest configuration that it holds, 0 for none.
    :ivar is_platform_read: whether the platform's head was read since the start.
    :ivar listed: other entries of the data centre that the platform's registrations name.
    :ivar heard: other entries that were heard since the start.
    :ivar heard_generation: highest generation that one of them has in force.
    """

    began_at: float
    best_generation: int
    is_platform_read: bool
    listed: frozenset[str]
    heard: frozenset[str]
    heard_generation: int


def may_start(known: Known, now: float) -> bool:
    """Whether the best configuration held may be put in force.

    An entry that nobody answers never may; it serves nothing and its ``/readyz`` fails.
    """
    if known.best_generation < max(1, known.heard_generation):
        return False
    if known.is_platform_read and known.listed <= known.heard:
        return True
    is_answered = known.is_platform_read or bool(known.heard)
    return is_answered and now >= known.began_at + PEER_WAIT_SECONDS
