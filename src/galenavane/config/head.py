"""The head, the stored object that names the configuration in force, and its keys."""

from __future__ import annotations

import hashlib

import msgspec

HEAD_KEY = "config/head"
SECTION_PREFIX = "config/section/"
HISTORY_PREFIX = "config/history/"


class Head(msgspec.Struct, frozen=True):
    """A configuration, with its sections named by their hashes.

    :ivar generation: grows by one with every accepted change.
    :ivar sections: hash of each section's canonical text, by section name.
    :ivar preset: name of the preset in force.
    :ivar writer: unique id of the acceptance; after a lost response it tells whose write took
        effect.
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
    """Return the SHA-256 hash under which a section is stored."""
    return hashlib.sha256(text.encode()).hexdigest()


def make_section_key(digest: str) -> str:
    """Return the platform key of the section with the given hash."""
    return SECTION_PREFIX + digest


def make_history_key(generation: int) -> str:
    """Return the platform key under which the replaced head of a generation is stored."""
    return f"{HISTORY_PREFIX}{generation:012d}"
