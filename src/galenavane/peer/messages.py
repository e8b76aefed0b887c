"""Messages between entries."""

from __future__ import annotations

import msgspec

PROTOCOL_VERSION = 1


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """Regular sign of life.

    :ivar protocol: messages of another version are dropped.
    :ivar stamp: hybrid logical clock of the sender.
    """

    protocol: int
    stamp: str
    name: str
    incarnation: str
    data_centre: str
    address: str
    generation: int
    leaving: bool


class Configuration(msgspec.Struct, frozen=True, array_like=True, tag="configuration"):
    """A configuration in force, for a peer that has an older one.

    :ivar head: text of the head object.
    :ivar sections: text of each section by name.
    """

    protocol: int
    stamp: str
    head: str
    sections: dict[str, str]


Message = Heartbeat | Configuration

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """Parse a message; ``None`` when it is damaged, unknown or of another version."""
    try:
        message = _decoder.decode(data)
    except msgspec.DecodeError:
        return None
    return message if message.protocol == PROTOCOL_VERSION else None
