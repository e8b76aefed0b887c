"""Selects expired idempotency records and divides their removal among data centres."""

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
    """Return the shards that a data centre sweeps; each shard is assigned to exactly one."""
    names = sorted({data_centre, *data_centres})
    return range(names.index(data_centre), records.SHARDS, len(names))


def compute_pause_seconds(data_centres: abc.Collection[str]) -> float:
    """Return one data centre's pause between two shards.

    All data centres together then list one shard every ``STEP_SECONDS``.
    """
    return STEP_SECONDS * max(1, len(set(data_centres)))


def select_expired(
    listed: abc.Iterable[stored.StoredObject], wall_seconds: float
) -> list[stored.StoredObject]:
    """Return the records that are past their lifetime, at most ``MAX_DELETES_PER_SHARD``.

    Records that cannot be decoded are kept.

    :param wall_seconds: wall clock time in seconds.
    """
    oldest_kept = wall_seconds - records.LIFETIME_SECONDS
    expired = [record for record in listed if _read_start_seconds(record) < oldest_kept]
    return expired[:MAX_DELETES_PER_SHARD]


def _read_start_seconds(record: stored.StoredObject) -> float:
    try:
        return records.decode(record.value).started_at
    except msgspec.DecodeError:
        return math.inf
