"""The one object that says which configuration is in force."""

from __future__ import annotations

import hashlib

import msgspec

HEAD_KEY = "config/head"
SECTION_PREFIX = "config/section/"
HISTORY_PREFIX = "config/history/"


class Head(msgspec.Struct, frozen=True):
    """The configuration in force.

    :ivar generation: grows by one with every accepted change.
    :ivar sections: hash of each section's canonical text, by section name.
    :ivar preset: the preset in force.
    :ivar writer: unique id of the acceptance, by which a lost answer is settled.
    """

    generation: int
    sections: dict[str, str]
    preset: str
    writer: str


def encode(head: Head) -> str:
    """Return the canonical text of a head."""
    return msgspec.json.encode(head, order="deterministic").decode()


def decode(text: str) -> Head:
    """Parse a head.

    :raises msgspec.DecodeError: when the text is damaged.
    """
    return msgspec.json.decode(text, type=Head)


def hash_text(text: str) -> str:
    """Return the hash under which a section is kept."""
    return hashlib.sha256(text.encode()).hexdigest()


def make_section_key(digest: str) -> str:
    """Return the platform key of a section."""
    return SECTION_PREFIX + digest


def make_history_key(generation: int) -> str:
    """Return the platform key under which a replaced head is kept."""
    return f"{HISTORY_PREFIX}{generation:012d}"
