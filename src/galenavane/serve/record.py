"""Idempotency records in the platform."""

from __future__ import annotations

import enum
import hashlib

import msgspec

RECORD_PREFIX = "record/"
MAX_RECORDED_BODY_BYTES = 65536


class Phase(enum.StrEnum):
    """How far a keyed request has come."""

    STARTED = "started"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Record(msgspec.Struct, frozen=True):
    """What is known of one idempotency key.

    :ivar body_hash: hash of method, path and body; another one is an error.
    :ivar attempt: unique id of the attempt that may run the request.
    :ivar started_at: wall clock in seconds, for removing old records.
    """

    body_hash: str
    attempt: str
    phase: Phase
    started_at: float
    status: int = 0
    content_type: str = ""
    body: str = ""


def key(account: str, service: str, idempotency_key: str) -> str:
    """Return the platform key of a record."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{RECORD_PREFIX}{account}/{service}/{digest}"


def hash_request(method: str, path: str, body: bytes) -> str:
    """Return the hash that two requests with one key have to share."""
    head = f"{method} {path}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def encode(record: Record) -> str:
    """Return the text of a record."""
    return msgspec.json.encode(record).decode()


def decode(text: str) -> Record:
    """Parse a record.

    :raises msgspec.DecodeError: when the text is damaged.
    """
    return msgspec.json.decode(text, type=Record)
