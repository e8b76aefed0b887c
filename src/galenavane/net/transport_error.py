"""Error of an HTTP exchange with another process."""

from __future__ import annotations

import enum


class Kind(enum.StrEnum):
    """Kind of a transport failure."""

    NOT_CONNECTED = "not_connected"
    RESET = "reset"
    SILENT = "silent"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    NOT_ALLOWED = "not_allowed"
    NO_MEMORY = "no_memory"


class TransportError(Exception):
    """An HTTP exchange that failed.

    :ivar kind: kind of the failure.
    :ivar has_sent_bytes: whether any byte of the request was passed to the socket.
    :ivar is_refused: whether the peer's host refused the connection, so that no process listens.
    """

    def __init__(
        self, kind: Kind, has_sent_bytes: bool, message: str = "", is_refused: bool = False
    ) -> None:
        super().__init__(message or kind.value)
        self.is_refused = is_refused
        self.kind = kind
        self.has_sent_bytes = has_sent_bytes
