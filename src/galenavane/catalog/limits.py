"""Size and time limits of client connections."""

from __future__ import annotations

import msgspec


class Limits(msgspec.Struct, frozen=True):
    """Limits of client connections.

    :ivar header_timeout_seconds: longest time to receive a request's header section.
    :ivar idle_timeout_seconds: longest wait for the next request on an open connection.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float
