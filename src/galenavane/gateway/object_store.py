"""What an entry process asks of the platform's store; the adapter and fakes provide it."""

from __future__ import annotations

import typing

import expression
import msgspec

from galenavane.failure import failure
from galenavane.fleet import target

_Result = expression.Result


class StoredObject(msgspec.Struct, frozen=True):
    """One object; ``value`` is JSON."""

    name: str
    revision: int
    value: bytes


class ObjectChanges(msgspec.Struct, frozen=True):
    """Changed objects, and the store's revision up to which they are complete."""

    revision: int
    objects: list[StoredObject]


class TargetList(msgspec.Struct, frozen=True):
    """All listed targets at a revision."""

    revision: int
    targets: list[target.Target]


class TargetChange(msgspec.Struct, frozen=True):
    """A new or changed entry; ``target`` is ``None`` when it is gone or names no target."""

    id: str
    target: target.Target | None


class TargetChanges(msgspec.Struct, frozen=True):
    """Changes up to a revision."""

    revision: int
    changes: list[TargetChange]


class ObjectStore(typing.Protocol):
    """The platform's store.

    Failures carry ``PLATFORM_DOWN`` (nothing was done), ``PLATFORM_UNKNOWN`` (a write may have
    taken effect), ``PLATFORM_CONFLICT``, ``PLATFORM_REFUSED`` (call rate), ``OBJECT_MISSING``,
    ``HISTORY_GONE`` (a watch has to begin with a whole list) or ``OBJECT_DAMAGED``.

    :ivar calls: calls made so far.
    """

    calls: int

    async def list_targets(self) -> _Result[TargetList, failure.Failure]:
        """Return all targets."""

    async def watch_targets(
        self, revision: int, wait_seconds: float
    ) -> _Result[TargetChanges, failure.Failure]:
        """Wait for changes after a revision; none when the time is over."""

    async def read_config(self) -> _Result[StoredObject, failure.Failure]:
        """Return the configuration."""

    async def watch_config(
        self, revision: int, wait_seconds: float
    ) -> _Result[ObjectChanges, failure.Failure]:
        """Wait for a new configuration."""

    async def read(self, kind: str, name: str) -> _Result[StoredObject, failure.Failure]:
        """Return one object of the product's own."""

    async def list_objects(self, kind: str) -> _Result[list[StoredObject], failure.Failure]:
        """Return the product's objects of a kind, possibly as they were seconds ago."""

    async def create(
        self, kind: str, name: str, value: object
    ) -> _Result[StoredObject, failure.Failure]:
        """Create an object that doesn't exist yet."""

    async def replace(
        self, kind: str, name: str, value: object, revision: int | None
    ) -> _Result[StoredObject, failure.Failure]:
        """Replace an object, if it is still at a revision."""

    async def delete(self, kind: str, name: str) -> _Result[None, failure.Failure]:
        """Delete an object."""
