"""Decides which entry of a data centre polls which target for its report."""

from __future__ import annotations

import zlib
from collections import abc

STALE_SECONDS = 1.3
STAGGER_SECONDS = 0.1
MAX_REMOTE_TARGETS = 200


def compute_own_ranks(
    own_name: str, entries: abc.Iterable[str], instances: abc.Iterable[str]
) -> dict[str, int]:
    """Return this entry's rank for each instance by rendezvous hashing; rank 0 polls it.

    When an entry joins or leaves, only the instances that it polls get another entry.

    :param own_name: name of this entry.
    :param entries: names of the data centre's entries.
    """
    others = sorted(set(entries) - {own_name})
    return {name: _compute_own_rank(own_name, others, name) for name in instances}


def _compute_own_rank(own_name: str, others: list[str], instance: str) -> int:
    own_weight = _compute_weight(own_name, instance)
    return sum(_compute_weight(other, instance) > own_weight for other in others)


def _compute_weight(entry: str, instance: str) -> tuple[int, str]:
    return zlib.crc32(f"{entry} {instance}".encode()), entry


def is_stale(rank: int, age_seconds: float) -> bool:
    """Whether to poll a target because the entry responsible for it has shared no recent report.

    The thresholds are staggered by rank, so that a dead entry's targets are polled before their
    last reports expire, and not by all entries at once.
    """
    return age_seconds > STALE_SECONDS + rank * STAGGER_SECONDS


def choose_targets(own_data_centre: str, targets: abc.Mapping[str, str]) -> list[str]:
    """Return the instances that the entries of a data centre poll.

    Remote instances are polled only while there are few of them; otherwise only the entries of
    their own data centre do so.

    :param targets: data centre of each instance by name.
    """
    own = [name for name, data_centre in targets.items() if data_centre == own_data_centre]
    remote = [name for name, data_centre in targets.items() if data_centre != own_data_centre]
    return sorted(own + remote if len(remote) <= MAX_REMOTE_TARGETS else own)
