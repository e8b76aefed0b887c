"""What an entry knows of another entry."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """Another entry of the deployment.

    :ivar address: where it hears peers.
    :ivar heard_at: monotonic time of its last message.
    :ivar generation: configuration generation in force there.
    """

    name: str
    incarnation: str
    data_centre: str
    address: str
    heard_at: float
    generation: int
    leaving: bool
