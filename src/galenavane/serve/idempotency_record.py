"""Encodes and decodes the idempotency records that are stored in the platform."""

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
    """State of a request with an idempotency key."""

    STARTED = "started"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Field(msgspec.Struct, frozen=True):
    """One header field of a recorded response."""

    name: str
    value: str


class Record(msgspec.Struct, frozen=True):
    """Stored state of one idempotency key.

    :ivar body_hash: hash of method, path and body; reuse of the key with another hash is an error.
    :ivar attempt: unique id of the attempt that may execute the request.
    :ivar started_at: wall clock time in seconds, from which the record's age is computed.
    :ivar run_until: wall clock time in seconds after which the attempt has ended.
    :ivar status: HTTP status of the response; 0 before there is one.
    :ivar fields: header fields of the response.
    :ivar body: body of the response, decoded as Latin-1.
    :ivar is_whole: whether the response is recorded in full; header and body of a large one are
        not kept.
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
    """Return the platform key of a record.

    The shard in the key lets the removal of expired records be divided among data centres.
    """
    text = f"{account}\n{service}\n{idempotency_key}"
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f"{RECORD_PREFIX}{digest[:SHARD_DIGITS]}/{digest}"


def make_shard_prefix(shard: int) -> str:
    """Return the common prefix of all keys in a shard.

    :param shard: 0 to ``SHARDS`` - 1.
    """
    return f"{RECORD_PREFIX}{shard:0{SHARD_DIGITS}x}/"


def hash_request(method: str, target: str, body: bytes) -> str:
    """Return the hash that must match for requests with the same idempotency key."""
    head = f"{method} {target}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def make_answered(started: Record, response: message.Response) -> Record:
    """Return the record of a request that was answered; a large response is not kept."""
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
    """Return the recorded response, marked as a replay."""
    fields = header_lists.Headers()
    for field in recorded.fields:
        fields.add(field.name, field.value)
    fields.add("idempotent-replay", "true")
    return message.Response(recorded.status, fields, recorded.body.encode("latin-1"))


def encode(record: Record) -> str:
    """Encode a record as JSON."""
    return msgspec.json.encode(record).decode()


def decode(text: str) -> Record:
    """Decode a record.

    :raises msgspec.DecodeError: when the text is not a valid record.
    """
    return msgspec.json.decode(text, type=Record)
