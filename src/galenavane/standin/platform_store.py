"""The stand-in platform's objects."""

from __future__ import annotations

import trio

from galenavane.store import stored


class Store:
    """Objects with versions, and the changes since the start."""

    __slots__ = ("_changed", "_kept", "objects", "revision")

    def __init__(self) -> None:
        self.objects: dict[str, stored.StoredObject] = {}
        self.revision = 0
        self._changed = trio.Event()
        self._kept: tuple[dict[str, stored.StoredObject], int] = ({}, 0)

    def keep(self) -> None:
        """Remember everything as it is, for ``lose``."""
        self._kept = (dict(self.objects), self.revision)

    def lose(self) -> None:
        """Lose every write since ``keep``, as a platform restored from an old copy does."""
        self.objects, self.revision = dict(self._kept[0]), self._kept[1]

    def get(self, key: str) -> stored.StoredObject:
        """Return an object; version 0 when it does not exist."""
        found = self.objects.get(key)
        if found is None or not found.value:
            return stored.StoredObject(key, 0, "")
        return found

    def put(self, key: str, value: str, if_version: int | None) -> bool:
        """Write conditionally; an empty value deletes. Return whether it was written."""
        current = self.get(key).version
        if if_version is not None and if_version != current:
            return False
        self.revision += 1
        self.objects[key] = stored.StoredObject(key, self.revision, value)
        self._changed.set()
        self._changed = trio.Event()
        return True

    def list_objects(self, prefix: str) -> stored.Listing:
        """Return the objects under a prefix."""
        found = [obj for obj in self._under(prefix) if obj.value]
        return stored.Listing(self.revision, found)

    def changes(self, prefix: str, after: int) -> stored.Listing:
        """Return the objects under a prefix that changed after a revision."""
        found = [obj for obj in self._under(prefix) if obj.version > after]
        return stored.Listing(self.revision, found)

    async def wait_change(self) -> None:
        """Return at the next write of any object."""
        await self._changed.wait()

    def _under(self, prefix: str) -> list[stored.StoredObject]:
        return [obj for key, obj in sorted(self.objects.items()) if key.startswith(prefix)]
