"""What an entry knows of another entry."""

from __future__ import annotations

import dataclasses

NEVER = float("-inf")


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """Another entry of the deployment.

    :ivar incarnation: empty until it has said hello.
    :ivar started_ms: wall clock at its start, by its own account; 0 until it has said hello.
    :ivar address: where it hears peers.
    :ivar heard_at: monotonic time of its last message.
    :ivar generation: configuration generation in force there.
    :ivar is_listed: whether the platform's last known registrations name it.
    :ivar is_suspected: whether several beats in a row were missed.
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
