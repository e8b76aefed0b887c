"""What entry processes tell each other."""

from __future__ import annotations

import msgspec

from galenavane.fleet import target


class HeadLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests that an entry has at a head."""

    head: str
    in_flight: int


class Pulse(msgspec.Struct, frozen=True, tag="pulse", array_like=True):
    """The regular message of an entry.

    :ivar incarnation: random, new at each start.
    :ivar sent_at: boot time of the sender.
    :ivar echoed_at: ``sent_at`` of the receiver's last message that the sender has seen.
    :ivar version: configuration in force at the sender, 0 for none.
    :ivar confirmed_age: seconds since that version was known to be the newest.
    :ivar store_age: seconds since the store answered the sender.
    :ivar revision: of the sender's list of targets.
    :ivar token: the sender's lease number while it commands targets, else 0.
    """

    sender: str
    address: str
    incarnation: str
    sent_at: float
    echoed_at: float
    version: int
    confirmed_age: float
    store_age: float
    revision: int
    token: int
    is_stopping: bool
    loads: list[HeadLoad]


class Ask(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """Asks for what the sender lacks.

    :ivar version: configuration that the sender has.
    :ivar revision: list of targets that the sender has.
    """

    sender: str
    address: str
    version: int
    revision: int


class Config(msgspec.Struct, frozen=True, tag="config", array_like=True):
    """A configuration as stored."""

    sender: str
    raw: bytes


class Targets(msgspec.Struct, frozen=True, tag="targets", array_like=True):
    """A whole list of targets."""

    sender: str
    revision: int
    targets: list[target.Target]


class Stall(msgspec.Struct, frozen=True, tag="stall", array_like=True):
    """A group stands still.

    :ivar missing: members that did not answer the sender.
    """

    sender: str
    service: str
    head: str
    group: str
    epoch: int
    missing: list[str]


Message = Pulse | Ask | Config | Targets | Stall
_decoder = msgspec.msgpack.Decoder(Message)


def encode(found: Message) -> bytes:
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(found)


def decode(data: bytes) -> Message | None:
    """Return a message, or ``None`` for bytes that are none."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
