"""Actions that membership decisions return for the peer task to carry out."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SendHello:
    """Send a hello with this entry's identity.

    :ivar addresses: ``IP:port`` of each receiver.
    :ivar wants_answer: whether the receivers should reply with a hello of their own.
    """

    addresses: list[str]
    wants_answer: bool


@dataclasses.dataclass(slots=True, frozen=True)
class SendHeartbeat:
    """Send a heartbeat with the changed part of this entry's shared state."""

    addresses: list[str]


@dataclasses.dataclass(slots=True, frozen=True)
class RequestConfiguration:
    """Request the configuration that a peer has in force."""

    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class LogEvent:
    """Log an event about a peer.

    :ivar event: name of the log event.
    :ivar peer: name of the peer.
    """

    event: str
    peer: str


Action = SendHello | SendHeartbeat | RequestConfiguration | LogEvent
