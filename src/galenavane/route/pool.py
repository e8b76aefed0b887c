"""The groups that can serve the same requests."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """What a group runs and a request asks for."""

    service: str
    model: str
    version: str

    def key(self) -> str:
        """Return the name of the pool in what entries tell each other."""
        return f"{self.service}/{self.version}"
