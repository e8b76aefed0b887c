"""Identifies the pool of groups that can serve the same requests."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """Service, model and version that a group runs or a request asks for."""

    service: str
    model: str
    version: str

    def key(self) -> str:
        """Return the key of the pool in messages between entries."""
        return f"{self.service}/{self.version}"
