"""Decides whether a group that entries report as stalled is lost.

A target that doesn't answer for a moment may pause and go on, and a command to leave the group
would end the streams that still wait for it.
"""

from __future__ import annotations

import enum
from collections import abc

from galenavane.fleet import replica_group

MAX_PAUSE_SECONDS = 2.0
"""A sound target may be silent for about a second."""
LOAD_AGE_SECONDS = 0.4
"""Within which all entries tell the others how many requests they have at a head."""


class Verdict(enum.Enum):
    """What to do with a group. ``WAIT`` means that its members are to be checked again."""

    KEEP = "keep"
    WAIT = "wait"
    DISSOLVE = "dissolve"


def find_gone(
    group: replica_group.Group, refusing: abc.Container[str], unlisted: abc.Container[str]
) -> list[str]:
    """Return the members that are known to be gone.

    :param refusing: members whose hosts refuse connections. A head does so too when it has too
        many, and a member that leaves, or whose record was removed, works on for its group.
    :param unlisted: members without a record.
    """
    return [
        member.id
        for member in group.members
        if member.id in refusing
        and member is not group.head
        and not member.is_leaving
        and member.id not in unlisted
    ]


def decide(
    gone: abc.Sequence[str],
    requests: float,
    silent_seconds: float | None,
    departing_seconds: float | None,
) -> Verdict:
    """Decide on a reported group by what the lease holder sees itself.

    A group all of whose members answer is kept: if its head can't go on, the head reports that the
    group is broken.

    :param gone: members without a process.
    :param requests: requests of all entries at its head.
    :param silent_seconds: how long a member has not answered, ``None`` if none is silent.
    :param departing_seconds: how long a member that may work on has refused connections, ``None``
        if none does.
    """
    if gone:
        return Verdict.DISSOLVE
    unanswered = [seconds for seconds in (silent_seconds, departing_seconds) if seconds is not None]
    if not unanswered:
        return Verdict.KEEP
    if silent_seconds is not None and silent_seconds >= MAX_PAUSE_SECONDS:
        return Verdict.DISSOLVE
    is_unused = requests == 0 and max(unanswered) >= LOAD_AGE_SECONDS
    return Verdict.DISSOLVE if is_unused else Verdict.WAIT
