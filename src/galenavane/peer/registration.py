"""Registration of an entry in the platform."""

from __future__ import annotations

import msgspec

PREFIX = "entry/"


class Registration(msgspec.Struct, frozen=True):
    """Registration of a running entry; a planned stop deletes it.

    :ivar peers: ``IP:port`` on which it receives messages of other entries.
    :ivar operators: ``IP:port`` of its HTTP server for operators.
    """

    name: str
    incarnation: str
    data_centre: str
    peers: str
    operators: str


def key(name: str) -> str:
    """Return the platform key of an entry's registration."""
    return PREFIX + name


def encode(entry: Registration) -> str:
    """Encode a registration as JSON."""
    return msgspec.json.encode(entry).decode()


def decode(text: str) -> Registration | None:
    """Decode a registration; ``None`` when it is malformed."""
    try:
        return msgspec.json.decode(text, type=Registration)
    except msgspec.DecodeError:
        return None
