"""Why an HTTP exchange with another process failed."""

from __future__ import annotations

import enum


class Kind(enum.StrEnum):
    """What happened on the connection."""

    NOT_CONNECTED = "not_connected"
    RESET = "reset"
    SILENT = "silent"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


class TransportError(Exception):
    """The exchange broke off.

    :ivar kind: what happened.
    :ivar has_sent_bytes: whether any byte of the request was handed to the socket.
    """

    def __init__(self, kind: Kind, has_sent_bytes: bool, message: str = "") -> None:
        super().__init__(message or kind.value)
        self.kind = kind
        self.has_sent_bytes = has_sent_bytes
