"""The groups that can serve the same requests."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """What a group runs and a request asks for."""

    service: str
    model: str
    version: str
