"""An object as the platform keeps it."""

from __future__ import annotations

import msgspec

MAX_VALUE_BYTES = 1_000_000


class StoredObject(msgspec.Struct, frozen=True):
    """One object of the platform's API.

    :ivar version: the platform's revision of its last write; 0 means that it does not exist.
    :ivar value: JSON text, empty for a deleted object.
    """

    key: str
    version: int
    value: str


class Listing(msgspec.Struct, frozen=True):
    """Objects under a prefix, and the revision at which they were read.

    :ivar objects: a watch's deleted objects appear with an empty value.
    """

    revision: int
    objects: list[StoredObject]


class PutRequest(msgspec.Struct, frozen=True):
    """Body of a write.

    :ivar if_version: version that must be current; 0 creates; ``None`` writes always.
    """

    value: str
    if_version: int | None = None


class WriteResponse(msgspec.Struct, frozen=True):
    """Answer of a write: the version written, or the current one on a conflict."""

    version: int
