"""Checks of the guarantees against the records of callers and targets."""

from __future__ import annotations

import collections
import itertools
from collections import abc

from fault_soak import records

NOT_RUN_STATUSES = (408, 421, 429, 503)
REVOCATION_LIMIT_SECONDS = 5.0
"""The platform guarantees that a removed key works no longer than this."""
LEAVING_LIMIT_SECONDS = 4.0
"""After this time, a leaving target gets no new requests from entries that reach the store."""


def check_streams(sent: abc.Iterable[records.SentRequest]) -> list[str]:
    """Check that events arrive in order and once each, and that a complete stream has them all."""
    violations = []
    for request in sent:
        is_answered = request.kind == "stream" and request.status == 200 and request.is_complete
        if request.events != list(range(1, len(request.events) + 1)):
            violations.append(
                f"stream {request.attempt} at {request.entry_run}: events {request.events}"
            )
        elif is_answered and len(request.events) != request.expected:
            text = f"ended normally after {len(request.events)} of {request.expected} events"
            violations.append(f"stream {request.attempt} at {request.entry_run} {text}")
    return violations


def check_at_most_once(
    sent: abc.Iterable[records.SentRequest], arrivals: abc.Iterable[records.Arrival]
) -> list[str]:
    """Check that non-idempotent requests run at most once."""
    counts = collections.Counter(arrival.attempt for arrival in arrivals)
    return [
        f"order {request.attempt} at {request.entry_run} ran {counts[request.attempt]} times"
        for request in sent
        if request.kind == "order" and counts[request.attempt] > 1
    ]


def check_not_run(
    sent: abc.Iterable[records.SentRequest], arrivals: abc.Iterable[records.Arrival]
) -> list[str]:
    """Check that no request runs whose caller was told that it did not run."""
    run_attempts = {arrival.attempt for arrival in arrivals}
    return [
        f"{request.kind} {request.attempt} at {request.entry_run} "
        f"was answered {request.status} but ran"
        for request in sent
        if request.status in NOT_RUN_STATUSES and request.attempt in run_attempts
    ]


def check_revoked(
    sent: abc.Iterable[records.SentRequest],
    arrivals: abc.Iterable[records.Arrival],
    revoked_at: abc.Mapping[str, float],
) -> list[str]:
    """Check that a removed key stops working in time, even at a cut-off entry."""
    run_at = {arrival.attempt: arrival.arrived_at for arrival in arrivals}
    return [
        f"{request.kind} {request.attempt} at {request.entry_run} ran "
        f"{run_at[request.attempt] - revoked_at[request.key]:.1f} s"
        " after its key was removed"
        for request in sent
        if request.key in revoked_at
        and request.attempt in run_at
        and request.started_at > revoked_at[request.key] + REVOCATION_LIMIT_SECONDS
    ]


def check_leaving(
    arrivals: abc.Iterable[records.Arrival], departures: abc.Iterable[tuple[str, float, float]]
) -> list[str]:
    """Check that a leaving target gets no new requests after ``LEAVING_LIMIT_SECONDS``.

    :param departures: name of each target that left, when it announced that, and when it ended.
    """
    violations = []
    for name, since, until in departures:
        for arrival in arrivals:
            if (
                arrival.target == name
                and since + LEAVING_LIMIT_SECONDS < arrival.arrived_at < until
            ):
                violations.append(
                    f"{arrival.attempt} reached {name} "
                    f"{arrival.arrived_at - since:.1f} s after it left"
                )
    return violations


def check_versions(versions_by_entry: abc.Mapping[str, abc.Sequence[int]]) -> list[str]:
    """Check that the configuration in force never goes back while an entry process runs."""
    return [
        f"{entry} went from configuration {previous} to {current}"
        for entry, versions in versions_by_entry.items()
        for previous, current in itertools.pairwise(versions)
        if current < previous
    ]


def check_joins(taken_targets: abc.Iterable[str]) -> list[str]:
    """Check that no target is taken from a serving group."""
    return [f"taken from a serving group: {taken}" for taken in taken_targets]
