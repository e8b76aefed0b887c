"""Decides which idempotency records are removed, and by which data centre."""

from __future__ import annotations

import math
from collections import abc

import msgspec

from galenavane.serve import idempotency_record as records
from galenavane.store import stored

CYCLE_SECONDS = 20_480.0
STEP_SECONDS = CYCLE_SECONDS / records.SHARDS
MAX_DELETES_PER_SHARD = 5_000


def assign_shards(data_centre: str, data_centres: abc.Collection[str]) -> range:
    """Return the shards that a data centre sweeps; every shard has one at a time."""
    names = sorted({data_centre, *data_centres})
    return range(names.index(data_centre), records.SHARDS, len(names))


def compute_pause_seconds(data_centres: abc.Collection[str]) -> float:
    """Return the time between two shards, by which all together list one each step."""
    return STEP_SECONDS * max(1, len(set(data_centres)))


def select_expired(
    listed: abc.Iterable[stored.StoredObject], wall: float
) -> list[stored.StoredObject]:
    """Return the records that are past their lifetime; damaged ones stay."""
    oldest_kept = wall - records.LIFETIME_SECONDS
    expired = [record for record in listed if _started_at(record) < oldest_kept]
    return expired[:MAX_DELETES_PER_SHARD]


def _started_at(record: stored.StoredObject) -> float:
    try:
        return records.decode(record.value).started_at
    except msgspec.DecodeError:
        return math.inf
