"""Decides whether a group that entries report as stalled is lost.

A target that doesn't answer for a moment may pause and go on, and a command to leave the group
would end the streams that still wait for it.
"""

from __future__ import annotations

import enum
from collections import abc

MAX_PAUSE_SECONDS = 2.0
"""A sound target may be silent for about a second."""
LOAD_AGE_SECONDS = 0.4
"""Within which all entries tell the others how many requests they have at a head."""


class Verdict(enum.Enum):
    """What to do with a group. ``WAIT`` means that its members are to be checked again."""

    KEEP = "keep"
    WAIT = "wait"
    DISSOLVE = "dissolve"


def decide(
    gone: abc.Sequence[str], silent: abc.Sequence[str], requests: float, silent_seconds: float
) -> Verdict:
    """Decide on a reported group by what the lease holder sees itself.

    A group all of whose members answer is kept: if its head can't go on, the head reports that the
    group is broken.

    :param gone: members without a process.
    :param silent: members that don't answer.
    :param requests: requests of all entries at its head.
    :param silent_seconds: how long some of the members have been silent.
    """
    if gone:
        return Verdict.DISSOLVE
    if not silent:
        return Verdict.KEEP
    if silent_seconds >= MAX_PAUSE_SECONDS:
        return Verdict.DISSOLVE
    is_unused = requests == 0 and silent_seconds >= LOAD_AGE_SECONDS
    return Verdict.DISSOLVE if is_unused else Verdict.WAIT
