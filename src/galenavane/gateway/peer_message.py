"""What entry processes tell each other."""

from __future__ import annotations

import msgspec

from galenavane.fleet import target


class HeadLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests that entries have at a head."""

    head: str
    in_flight: int


class Heartbeat(msgspec.Struct, frozen=True, tag="pulse", array_like=True):
    """The regular message of an entry.

    :ivar bandwidth: of the sender's own link, in Mbit/s.
    :ivar incarnation: random, new at each start.
    :ivar wants_relay: the sender wants to be told by the receiver what it knows.
    :ivar sent_at: boot time of the sender.
    :ivar echoed_at: ``sent_at`` of the receiver's last message that the sender has seen.
    :ivar version: configuration in force at the sender, 0 for none.
    :ivar confirmed_age: seconds since that version was known to be the newest.
    :ivar store_age: seconds since the store's word reached the sender.
    :ivar revision: of the sender's list of targets.
    :ivar token: the highest lease number that the sender knows to be in use.
    :ivar token_age: seconds since its holder said so.
    :ivar loads: requests of the sender.
    :ivar local_loads: requests of the sender's data centre, told by relays.
    :ivar all_loads: requests of all entries, told by relays to those that want it.
    """

    sender: str
    data_centre: str
    address: str
    bandwidth: float
    incarnation: str
    wants_relay: bool
    sent_at: float
    echoed_at: float
    version: int
    confirmed_age: float
    store_age: float
    revision: int
    token: int
    token_age: float
    is_stopping: bool
    loads: list[HeadLoad]
    local_loads: list[HeadLoad]
    all_loads: list[HeadLoad]


class SyncRequest(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """Asks for what the sender lacks.

    :ivar version: configuration that the sender has.
    :ivar revision: list of targets that the sender has.
    """

    sender: str
    address: str
    version: int
    revision: int


class ConfigUpdate(msgspec.Struct, frozen=True, tag="config", array_like=True):
    """A configuration as stored."""

    sender: str
    raw: bytes


class TargetSnapshot(msgspec.Struct, frozen=True, tag="targets", array_like=True):
    """A whole list of targets."""

    sender: str
    revision: int
    targets: list[target.Target]


class TargetDelta(msgspec.Struct, frozen=True, tag="delta", array_like=True):
    """Changes of the list of targets between two revisions."""

    sender: str
    from_revision: int
    to_revision: int
    changed: list[target.Target]
    gone: list[str]


class StallReport(msgspec.Struct, frozen=True, tag="stall", array_like=True):
    """A group stands still.

    :ivar sender: the entry that found it, also where another one passes it on.
    :ivar missing: members that did not answer the sender.
    """

    sender: str
    service: str
    head: str
    group: str
    epoch: int
    missing: list[str]


Message = Heartbeat | SyncRequest | ConfigUpdate | TargetSnapshot | TargetDelta | StallReport
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message | None:
    """Return a message, or ``None`` for bytes that are none."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
