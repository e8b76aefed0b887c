"""What a client may send, and how long it may take."""

from __future__ import annotations

import msgspec


class Limits(msgspec.Struct, frozen=True):
    """Limits on clients' connections.

    :ivar header_timeout_seconds: time to send a request's head.
    :ivar idle_timeout_seconds: wait for the next request on an open connection.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float
