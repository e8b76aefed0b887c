"""In-memory object store of the stand-in platform."""

from __future__ import annotations

import trio

from galenavane.store import stored


class ObjectStore:
    """Versioned objects by key.

    :ivar objects: objects by key; a deleted object stays with an empty value.
    :ivar revision: version of the latest write.
    """

    __slots__ = ("_changed", "_snapshot", "objects", "revision")

    def __init__(self) -> None:
        self.objects: dict[str, stored.StoredObject] = {}
        self.revision = 0
        self._changed = trio.Event()
        self._snapshot: tuple[dict[str, stored.StoredObject], int] = ({}, 0)

    def save_snapshot(self) -> None:
        """Save all objects and the revision for :meth:`restore_snapshot`."""
        self._snapshot = (dict(self.objects), self.revision)

    def restore_snapshot(self) -> None:
        """Lose all writes since :meth:`save_snapshot`, as a platform restored from backup does."""
        self.objects, self.revision = dict(self._snapshot[0]), self._snapshot[1]

    def get(self, key: str) -> stored.StoredObject:
        """Return an object, with version 0 if it does not exist."""
        stored_object = self.objects.get(key)
        if stored_object is None or not stored_object.value:
            return stored.StoredObject(key, 0, "")
        return stored_object

    def put(self, key: str, value: str, if_version: int | None) -> bool:
        """Write an object; an empty value deletes it.

        :param if_version: version that the object must have; ``None`` writes in any case.
        :returns: whether the object was written.
        """
        current = self.get(key).version
        if if_version is not None and if_version != current:
            return False
        self.revision += 1
        self.objects[key] = stored.StoredObject(key, self.revision, value)
        self._changed.set()
        self._changed = trio.Event()
        return True

    def list_objects(self, prefix: str) -> stored.Listing:
        """Return the existing objects whose keys start with a prefix."""
        existing = [obj for obj in self._select_prefix(prefix) if obj.value]
        return stored.Listing(self.revision, existing)

    def list_changes(self, prefix: str, after: int) -> stored.Listing:
        """Return the objects under a prefix, deleted ones too, that changed after a revision."""
        changed = [obj for obj in self._select_prefix(prefix) if obj.version > after]
        return stored.Listing(self.revision, changed)

    async def wait_for_change(self) -> None:
        """Wait for the next write of any object."""
        await self._changed.wait()

    def _select_prefix(self, prefix: str) -> list[stored.StoredObject]:
        return [obj for key, obj in sorted(self.objects.items()) if key.startswith(prefix)]
