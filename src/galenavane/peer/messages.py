"""Messages between entries."""

from __future__ import annotations

import typing

import msgspec

from galenavane.peer import target_reports

PROTOCOL_VERSION = 2


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Identity of an entry, sent at first contact, on request and when its generation changes.

    :ivar protocol: messages of another version are dropped.
    :ivar stamp: hybrid logical clock of the sender.
    :ivar started_ms: wall clock at its start, in milliseconds; a later start replaces an earlier
        one with the same name.
    :ivar address: ``IP:port`` on which the sender receives messages.
    :ivar generation: configuration generation in force on the sender, 0 for none.
    :ivar leaving: whether the sender is stopping.
    :ivar wants_answer: whether the receiver should reply with a hello of its own.
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
    """Heartbeat with the changed part of the sender's shared state.

    :ivar clock_ms: milliseconds of the sender's hybrid logical clock.
    :ivar clock_count: counter of the sender's hybrid logical clock.
    :ivar started_ms: start of the sender, as in its hello.
    :ivar generation: configuration generation in force on the sender, 0 for none.
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
    """Request for the configuration in force on the receiver.

    :ivar address: ``IP:port`` to which the configuration is sent.
    :ivar generation: generation in force on the sender; only a newer one is sent.
    :ivar known: hashes of the sections that the sender already has.
    """

    protocol: int
    stamp: str
    address: str
    generation: int
    known: list[str]


class Configuration(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Configuration in force on the sender, in reply to a request.

    :ivar head: JSON text of the head object.
    :ivar sections: texts of the sections that the requester does not have, by name.
    """

    protocol: int
    stamp: str
    head: str
    sections: dict[str, str]


Message = Hello | Heartbeat | ConfigurationRequest | Configuration | target_reports.TargetReports

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """Decode a message; ``None`` when it is malformed, unknown or of another version."""
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return message if message.protocol == PROTOCOL_VERSION else None
