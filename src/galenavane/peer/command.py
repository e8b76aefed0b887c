"""What membership tells its task to do."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SayHello:
    """Send who this entry is.

    :ivar wants_answer: whether the receiver should say hello too.
    """

    addresses: list[str]
    wants_answer: bool


@dataclasses.dataclass(slots=True, frozen=True)
class SendBeat:
    """Send a sign of life with the facts that changed."""

    addresses: list[str]


@dataclasses.dataclass(slots=True, frozen=True)
class AskConfiguration:
    """Ask a peer for the configuration that it has in force."""

    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class Note:
    """Log what membership found out of a peer.

    :ivar event: name of the event.
    """

    event: str
    peer: str


Command = SayHello | SendBeat | AskConfiguration | Note
