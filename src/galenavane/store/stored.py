"""Objects stored in the platform and the messages of its object API."""

from __future__ import annotations

import msgspec

MAX_VALUE_BYTES = 1_000_000


class StoredObject(msgspec.Struct, frozen=True):
    """Object stored in the platform.

    :ivar version: platform revision of its last write; 0 if the object does not exist.
    :ivar value: JSON text, empty for a deleted object.
    """

    key: str
    version: int
    value: str


class Listing(msgspec.Struct, frozen=True):
    """Objects under a prefix and the platform revision at which they were read.

    :ivar objects: for a watch the changed objects; deleted ones have an empty value.
    """

    revision: int
    objects: list[StoredObject]


class PutRequest(msgspec.Struct, frozen=True):
    """Body of a write request.

    :ivar if_version: version that must be current, 0 if the object must not exist; ``None`` writes
        unconditionally.
    """

    value: str
    if_version: int | None = None


class WriteResponse(msgspec.Struct, frozen=True):
    """Response to a write or deletion: the version written, or the current one on a conflict."""

    version: int
