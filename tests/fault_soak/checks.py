"""Promises, checked on what callers and targets saw."""

from __future__ import annotations

import collections
import itertools
from collections import abc

from fault_soak import records

NOT_RUN = (408, 421, 429, 503)
REVOKE_SECONDS = 5.0
"""Keys that were removed work no longer than this, on the platform's promise."""
CONTACT_SECONDS = 4.0
"""A leaving target gets nothing new after this, from entries that reach the store."""


def check_streams(sent: abc.Iterable[records.Sent]) -> list[str]:
    """Events come in order, once each, and a whole stream has them all."""
    found = []
    for one in sent:
        is_served = one.kind == "stream" and one.status == 200 and one.is_whole
        if one.events != list(range(1, len(one.events) + 1)):
            found.append(f"stream {one.attempt} at {one.entry}: events {one.events}")
        elif is_served and len(one.events) != one.expected:
            text = f"ended whole after {len(one.events)} of {one.expected} events"
            found.append(f"stream {one.attempt} at {one.entry} {text}")
    return found


def check_once(
    sent: abc.Iterable[records.Sent], arrivals: abc.Iterable[records.Arrival]
) -> list[str]:
    """What may not be repeated runs at most once."""
    counts = collections.Counter(one.attempt for one in arrivals)
    return [
        f"order {one.attempt} at {one.entry} ran {counts[one.attempt]} times"
        for one in sent
        if one.kind == "order" and counts[one.attempt] > 1
    ]


def check_not_run(
    sent: abc.Iterable[records.Sent], arrivals: abc.Iterable[records.Arrival]
) -> list[str]:
    """An answer that says that a request did not run is true."""
    ran = {one.attempt for one in arrivals}
    return [
        f"{one.kind} {one.attempt} at {one.entry} was told {one.status}, and ran"
        for one in sent
        if one.status in NOT_RUN and one.attempt in ran
    ]


def check_revoked(
    sent: abc.Iterable[records.Sent],
    arrivals: abc.Iterable[records.Arrival],
    revoked: abc.Mapping[str, float],
) -> list[str]:
    """A removed key stops working in time, also at an entry that is cut off."""
    ran = {one.attempt: one.at for one in arrivals}
    return [
        f"{one.kind} {one.attempt} at {one.entry} ran {ran[one.attempt] - revoked[one.key]:.1f} s"
        " after its key was removed"
        for one in sent
        if one.key in revoked
        and one.attempt in ran
        and one.began_at > revoked[one.key] + REVOKE_SECONDS
    ]


def check_leaving(
    arrivals: abc.Iterable[records.Arrival], left: abc.Iterable[tuple[str, float, float]]
) -> list[str]:
    """A leaving target gets nothing new after a while.

    :param left: targets that left, when they said so, and when they ended.
    """
    found = []
    for name, since, until in left:
        for one in arrivals:
            if one.target == name and since + CONTACT_SECONDS < one.at < until:
                found.append(f"{one.attempt} reached {name} {one.at - since:.1f} s after it left")
    return found


def check_versions(seen: abc.Mapping[str, abc.Sequence[int]]) -> list[str]:
    """The configuration in force never goes back in one life of a process."""
    return [
        f"{entry} went from configuration {before} to {after}"
        for entry, versions in seen.items()
        for before, after in itertools.pairwise(versions)
        if after < before
    ]


def check_joins(joins: abc.Iterable[str]) -> list[str]:
    """No target is taken from a group that serves."""
    return [f"taken from a serving group: {one}" for one in joins]
