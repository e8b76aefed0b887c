"""One service of the configuration."""

from __future__ import annotations

import msgspec

from galenavane.catalog import engine


class Service(msgspec.Struct, frozen=True):
    """A service; one with an engine is served by replica groups.

    :ivar max_connections: that one target accepts from all callers.
    """

    name: str
    max_connections: int
    engine: engine.Engine | None
