"""Decides how long a request waits for a target that answers no attempt to connect.

A host on which no process listens refuses at once. No answer may mean that the host is lost, or
that a sound target pauses, which lasts a second or so; only time tells these apart.
"""

from __future__ import annotations

import dataclasses

PAUSE_SECONDS = 2.0
"""How long a sound target may accept no connection."""
MEMORY_SECONDS = 10.0
"""After this time without an attempt to connect, the next one is the first again."""
WAIT_SHARE = 0.5
"""Share of a request's time for which it waits at most; the rest is left for a retry."""


@dataclasses.dataclass(slots=True)
class Pause:
    """When attempts to connect to a target were not answered, the first and the last one."""

    began_at: float
    last_at: float


def record_unanswered(pauses: dict[str, Pause], target_id: str, began_at: float) -> None:
    """Record that an attempt to connect was not answered."""
    pause = pauses.get(target_id)
    if pause is not None and began_at - pause.last_at <= MEMORY_SECONDS:
        pause.last_at = max(pause.last_at, began_at)
        return
    for known_id, known in list(pauses.items()):
        if began_at - known.last_at > MEMORY_SECONDS:
            del pauses[known_id]
    pauses[target_id] = Pause(began_at, began_at)


def record_answered(pauses: dict[str, Pause], target_id: str) -> None:
    """Record that a target has accepted or refused a connection."""
    pauses.pop(target_id, None)


def wait_until(
    pauses: dict[str, Pause], target_id: str, received_at: float, deadline: float
) -> float:
    """Return until when a request waits for a target that answered no attempt to connect.

    :param received_at: when the request was received.
    :param deadline: when its response is due.
    """
    share_end = received_at + WAIT_SHARE * (deadline - received_at)
    pause = pauses.get(target_id)
    return share_end if pause is None else min(pause.began_at + PAUSE_SECONDS, share_end)
