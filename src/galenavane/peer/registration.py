"""How an entry makes itself known in the platform."""

from __future__ import annotations

import msgspec

PREFIX = "entry/"


class Registration(msgspec.Struct, frozen=True):
    """One running entry, removed at a planned stop.

    :ivar peers: ``IP:port`` where it hears other entries.
    :ivar operators: ``IP:port`` where it hears operators.
    """

    name: str
    incarnation: str
    data_centre: str
    peers: str
    operators: str


def key(name: str) -> str:
    """Return the platform key of an entry."""
    return PREFIX + name


def encode(entry: Registration) -> str:
    """Return the text of a registration."""
    return msgspec.json.encode(entry).decode()


def decode(text: str) -> Registration | None:
    """Parse a registration; ``None`` when it is damaged."""
    try:
        return msgspec.json.decode(text, type=Registration)
    except msgspec.DecodeError:
        return None
