"""A service of the configuration."""

from __future__ import annotations

import msgspec

from galenavane.catalog import engine


class Service(msgspec.Struct, frozen=True):
    """A service, served by plain targets or, if it has an engine, by replica groups.

    :ivar max_connections: number of connections that one target accepts from all callers.
    """

    name: str
    max_connections: int
    engine: engine.Engine | None
