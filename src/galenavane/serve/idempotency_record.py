"""Idempotency records in the platform."""

from __future__ import annotations

import enum
import hashlib

import msgspec

from galenavane.net import headers as header_lists
from galenavane.net import message

RECORD_PREFIX = "record/"
SHARD_DIGITS = 3
SHARDS: int = 16**SHARD_DIGITS
LIFETIME_SECONDS = 86_400.0
RECORD_MARGIN_SECONDS = 60.0
MAX_RECORDED_BODY_BYTES = 65536
MAX_RECORDED_HEAD_BYTES = 8192


class Phase(enum.StrEnum):
    """How far a keyed request has come."""

    STARTED = "started"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Field(msgspec.Struct, frozen=True):
    """One header field of a recorded answer."""

    name: str
    value: str


class Record(msgspec.Struct, frozen=True):
    """What is known of one idempotency key.

    :ivar body_hash: hash of method, path and body; another one is an error.
    :ivar attempt: unique id of the attempt that may run the request.
    :ivar started_at: wall clock in seconds, for removing old records.
    :ivar run_until: wall clock in seconds after which the attempt runs no more.
    :ivar is_whole: whether ``body`` is the whole answer; a large one is not kept.
    """

    body_hash: str
    attempt: str
    phase: Phase
    started_at: float
    run_until: float
    status: int = 0
    fields: list[Field] = []
    body: str = ""
    is_whole: bool = False


def make_key(account: str, service: str, idempotency_key: str) -> str:
    """Return the platform key of a record; its shard spreads the removal of old ones."""
    text = f"{account}\n{service}\n{idempotency_key}"
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f"{RECORD_PREFIX}{digest[:SHARD_DIGITS]}/{digest}"


def make_shard_prefix(shard: int) -> str:
    """Return the prefix of the keys in a shard, 0 to ``SHARDS`` - 1."""
    return f"{RECORD_PREFIX}{shard:0{SHARD_DIGITS}x}/"


def hash_request(method: str, target: str, body: bytes) -> str:
    """Return the hash that two requests with one key have to share."""
    head = f"{method} {target}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def make_answered(started: Record, response: message.Response) -> Record:
    """Return the record of an answered request."""
    fields = [
        Field(name.decode(), value.decode("latin-1")) for name, value in response.headers.pairs
    ]
    head_bytes = sum(len(field.name) + len(field.value) for field in fields)
    is_kept = (
        len(response.body) <= MAX_RECORDED_BODY_BYTES and head_bytes <= MAX_RECORDED_HEAD_BYTES
    )
    return msgspec.structs.replace(
        started,
        phase=Phase.ANSWERED,
        status=response.status,
        fields=fields if is_kept else [],
        body=response.body.decode("latin-1") if is_kept else "",
        is_whole=is_kept,
    )


def make_response(recorded: Record) -> message.Response:
    """Return the recorded answer."""
    fields = header_lists.Headers()
    for field in recorded.fields:
        fields.add(field.name, field.value)
    fields.add("idempotent-replay", "true")
    return message.Response(recorded.status, fields, recorded.body.encode("latin-1"))


def encode(record: Record) -> str:
    """Return the text of a record."""
    return msgspec.json.encode(record).decode()


def decode(text: str) -> Record:
    """Parse a record.

    :raises msgspec.DecodeError: when the text is damaged.
    """
    return msgspec.json.decode(text, type=Record)
