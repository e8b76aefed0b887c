"""Interface to the platform's store, implemented by the platform's adapter and by fakes."""

from __future__ import annotations

import typing

import expression
import msgspec

from galenavane.failure import failure
from galenavane.fleet import target

_Result = expression.Result


class StoredObject(msgspec.Struct, frozen=True):
    """One stored object.

    :ivar revision: revision of the object's last change.
    :ivar value: JSON.
    """

    name: str
    revision: int
    value: bytes


class ObjectChanges(msgspec.Struct, frozen=True):
    """Changed objects, complete up to a revision of the store."""

    revision: int
    objects: list[StoredObject]


class ObjectPage(msgspec.Struct, frozen=True):
    """A part of a list of objects, in the order of their names.

    :ivar next_after: the name after which the next part begins, empty for the last part.
    """

    objects: list[StoredObject]
    next_after: str


class TargetList(msgspec.Struct, frozen=True):
    """All listed targets at a revision of the store."""

    revision: int
    targets: list[target.Target]


class TargetChange(msgspec.Struct, frozen=True):
    """A new or changed list entry; ``target`` is ``None`` if it was removed or is not a target."""

    id: str
    target: target.Target | None


class TargetChanges(msgspec.Struct, frozen=True):
    """Changes of the list of targets, complete up to a revision of the store."""

    revision: int
    changes: list[TargetChange]


class ObjectStore(typing.Protocol):
    """The platform's store.

    Failures carry one of the codes ``PLATFORM_DOWN`` (nothing was done), ``PLATFORM_UNKNOWN`` (a
    write may have taken effect), ``PLATFORM_CONFLICT``, ``PLATFORM_REFUSED`` (call rate),
    ``OBJECT_MISSING``, ``HISTORY_GONE`` (a watch has to start again from a full list) and
    ``OBJECT_DAMAGED``.

    :ivar calls: number of calls made so far.
    """

    calls: int

    async def list_targets(self) -> _Result[TargetList, failure.Failure]:
        """Return all listed targets."""

    async def watch_targets(
        self, revision: int, wait_seconds: float
    ) -> _Result[TargetChanges, failure.Failure]:
        """Wait for changes after a revision, and return no changes on timeout."""

    async def read_config(self) -> _Result[StoredObject, failure.Failure]:
        """Return the configuration."""

    async def watch_config(
        self, revision: int, wait_seconds: float
    ) -> _Result[ObjectChanges, failure.Failure]:
        """Wait for a configuration that is newer than a revision."""

    async def read(self, kind: str, name: str) -> _Result[StoredObject, failure.Failure]:
        """Return one of the product's own objects."""

    async def list_objects(
        self, kind: str, after: str = ""
    ) -> _Result[ObjectPage, failure.Failure]:
        """Return a part of the product's own objects of a kind, which may be seconds old.

        :param after: the name after which the part begins, empty for the first part.
        """

    async def create(
        self, kind: str, name: str, value: object
    ) -> _Result[StoredObject, failure.Failure]:
        """Create an object, which must not exist yet."""

    async def replace(
        self, kind: str, name: str, value: object, revision: int | None
    ) -> _Result[StoredObject, failure.Failure]:
        """Replace an object.

        :param revision: revision that the object must still have, or ``None`` for any.
        """

    async def delete(self, kind: str, name: str) -> _Result[None, failure.Failure]:
        """Delete an object."""
