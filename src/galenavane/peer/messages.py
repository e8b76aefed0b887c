"""Messages between entries."""

from __future__ import annotations

import typing

import msgspec

from galenavane.peer import target_reports

PROTOCOL_VERSION = 2


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Who an entry is; sent at first contact, when asked and when its generation changes.

    :ivar protocol: messages of another version are dropped.
    :ivar stamp: hybrid logical clock of the sender.
    :ivar started_ms: wall clock at its start; a later start replaces an earlier one of its name.
    :ivar generation: configuration generation in force there, 0 for none.
    :ivar wants_answer: whether the receiver should say hello too.
    """

    protocol: int
    stamp: str
    name: str
    incarnation: str
    started_ms: int
    data_centre: str
    address: str
    generation: int
    leaving: bool
    wants_answer: bool


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Regular sign of life, with the facts that changed.

    :ivar clock_ms: milliseconds of the sender's hybrid logical clock.
    :ivar clock_count: count of the sender's hybrid logical clock.
    :ivar state_delta: changed values by field index of ``shared_state.SharedState`` and key;
        ``None`` removes the key.
    """

    protocol: int
    clock_ms: int
    clock_count: int
    name: str
    started_ms: int
    generation: int
    state_delta: dict[int, dict[str, typing.Any]] = msgspec.field(
        name="facts", default_factory=dict
    )


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks for the configuration in force at the receiver.

    :ivar address: where the answer goes.
    :ivar known: hashes of sections that need not be sent.
    """

    protocol: int
    stamp: str
    address: str
    generation: int
    known: list[str]


class Configuration(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A configuration in force, for a peer that asked for it.

    :ivar head: text of the head object.
    :ivar sections: texts of the sections that the asker does not have, by name.
    """

    protocol: int
    stamp: str
    head: str
    sections: dict[str, str]


Message = Hello | Heartbeat | ConfigurationRequest | Configuration | target_reports.TargetReports

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """Parse a message; ``None`` when it is damaged, unknown or of another version."""
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return message if message.protocol == PROTOCOL_VERSION else None
