"""What membership tells its task to do."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SendHello:
    """Send who this entry is.

    :ivar wants_answer: whether the receiver should say hello too.
    """

    addresses: list[str]
    wants_answer: bool


@dataclasses.dataclass(slots=True, frozen=True)
class SendHeartbeat:
    """Send a sign of life with the facts that changed."""

    addresses: list[str]


@dataclasses.dataclass(slots=True, frozen=True)
class RequestConfiguration:
    """Ask a peer for the configuration that it has in force."""

    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class LogEvent:
    """Log what membership found out of a peer.

    :ivar event: name of the event.
    """

    event: str
    peer: str


Action = SendHello | SendHeartbeat | RequestConfiguration | LogEvent
