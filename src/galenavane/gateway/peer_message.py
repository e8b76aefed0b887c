"""Messages between entry processes."""

from __future__ import annotations

import msgspec

from galenavane.fleet import target


class HeadLoad(msgspec.Struct, frozen=True, array_like=True):
    """Number of requests that entries have in flight at a head."""

    head: str
    in_flight: int


class Heartbeat(msgspec.Struct, frozen=True, tag="pulse", array_like=True):
    """The message that an entry sends to its relays and subscribers at regular intervals.

    :ivar bandwidth: of the sender's own link, in Mbit/s.
    :ivar incarnation: random, new at each start.
    :ivar wants_relay: whether the sender asks the receiver to relay updates to it.
    :ivar sent_at: the sender's ``boot_clock`` time in seconds.
    :ivar echoed_at: ``sent_at`` of the receiver's last heartbeat that the sender has received.
    :ivar version: version of the sender's configuration, 0 for none.
    :ivar confirmed_age: seconds since that version was last confirmed as the newest.
    :ivar store_age: seconds since the store last answered, as far as the sender knows.
    :ivar revision: of the sender's list of targets.
    :ivar token: the highest fencing token that the sender knows to be in use.
    :ivar token_age: seconds since the token's holder last reported it.
    :ivar loads: requests of the sender.
    :ivar local_loads: requests of the sender's data centre, sent by relays to other data centres.
    :ivar all_loads: requests of all entries, sent by relays to subscribers in their data centre.
    :ivar own_store_age: seconds since the store last answered the sender itself.
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
    own_store_age: float = float("inf")


class SyncRequest(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """Asks for a newer configuration and list of targets than the sender has.

    :ivar version: version of the sender's configuration.
    :ivar revision: revision of the sender's list of targets.
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
    """A complete list of targets."""

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
    """Reports that a group stalled.

    :ivar sender: the entry that detected the stall, also if another entry forwards the report.
    :ivar missing: members that the sender could not reach.
    """

    sender: str
    service: str
    head: str
    group: str
    epoch: int
    missing: list[str]


class LeavingTarget(msgspec.Struct, frozen=True, tag="leaving", array_like=True):
    """Reports that a target has said that it leaves.

    :ivar incarnation: the start of the target that said so.
    """

    sender: str
    target: str
    incarnation: int


class PartCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a group's head while a request with the part of a prompt waited there.

    :ivar age: seconds since the crash.
    :ivar waited_seconds: how long before the crash the request was sent.
    :ivar reporter: the start of the entry that sent the request.
    :ivar reporter_at: time of the crash on that entry's clock.
    """

    part: str
    group: str
    epoch: int
    age: float
    waited_seconds: float
    reporter: str
    reporter_at: float


class PartProbe(msgspec.Struct, frozen=True, array_like=True):
    """A request with a blocked part that was let through.

    :ivar age: seconds since then.
    """

    part: str
    age: float


class SuspectParts(msgspec.Struct, frozen=True, tag="suspect-parts", array_like=True):
    """Reports crashes with suspected parts of prompts, and probes of such parts."""

    sender: str
    crashes: list[PartCrash]
    probes: list[PartProbe]


class ClearedPart(msgspec.Struct, frozen=True, array_like=True):
    """A success of a request with a suspected part.

    :ivar age: seconds since then.
    """

    part: str
    age: float


class ClearedParts(msgspec.Struct, frozen=True, tag="cleared-parts", array_like=True):
    """Reports that requests with suspected parts of prompts succeeded."""

    sender: str
    parts: list[ClearedPart]


Message = (
    Heartbeat
    | SyncRequest
    | ConfigUpdate
    | TargetSnapshot
    | TargetDelta
    | StallReport
    | LeavingTarget
    | SuspectParts
    | ClearedParts
)
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return an encoded message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message | None:
    """Return a decoded message, or ``None`` if the bytes are malformed."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None
