"""One entry's record of another entry."""

from __future__ import annotations

import dataclasses

NEVER = float("-inf")


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """Another entry of the deployment.

    :ivar address: ``IP:port`` on which it receives messages of peers.
    :ivar incarnation: empty until its first hello.
    :ivar started_ms: its own wall clock at its start, in milliseconds; 0 until its first hello.
    :ivar heard_at: monotonic time of its last message, in seconds.
    :ivar generation: configuration generation in force there.
    :ivar is_listed: whether the registrations last read from the platform contain it.
    :ivar is_suspected: whether several heartbeats in a row were missed.
    """

    name: str
    data_centre: str
    address: str
    incarnation: str = ""
    started_ms: int = 0
    heard_at: float = NEVER
    generation: int = 0
    is_leaving: bool = False
    is_listed: bool = False
    is_suspected: bool = False
