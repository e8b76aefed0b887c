"""Checks of the guarantees against the records of callers and targets."""

from __future__ import annotations

import collections
import itertools
from collections import abc

from fault_soak import records

NOT_RUN_STATUSES = (408, 421, 429, 503)
REVOCATION_LIMIT_SECONDS = 5.0
"""The platform guarantees that a removed key works no longer than this."""
NOTICE_SECONDS = 0.5
"""After this time an entry goes by what a target has said in its answer."""
WAITING_ARRIVALS = 2
LEAVING_LIMIT_SECONDS = 4.0
"""After this time, a leaving target gets no new requests from entries that reach the store."""

CROSSING_SECONDS = 0.2
"""A request that was sent no longer than this before its connection closed crossed the close."""
GRACE_SECONDS = 3.0
"""Grace time from the entries' settings."""
LAST_GRACE_SHARE = 1 / 6
"""A target may still be at work in this last share of the grace time."""


def check_streams(sent: abc.Iterable[records.SentRequest]) -> list[str]:
    """Check that events arrive in order and once each, and that a complete stream has them all."""
    violations = []
    for request in sent:
        is_stream = request.kind in records.STREAM_KINDS
        is_answered = is_stream and request.status == 200 and request.is_complete
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


def check_answered(
    sent: abc.Iterable[records.SentRequest],
    arrivals: abc.Iterable[records.Arrival],
    stopped_at: abc.Mapping[str, float],
    departures: abc.Iterable[tuple[str, float, float]],
    timeout_seconds: float,
) -> list[str]:
    """Check that each whole request that was not abandoned got a complete answer or a refusal.

    :param stopped_at: time of SIGTERM by name and start count of the entry process.
    :param departures: as of ``check_leaving``.
    :param timeout_seconds: shortest time after which a request may be given up.
    """
    arrivals_by_attempt = collections.defaultdict(list)
    for arrival in arrivals:
        arrivals_by_attempt[arrival.attempt].append(arrival)
    ends = list(departures)
    violations = []
    for request in sent:
        if request.sent_at == 0.0 or request.is_complete or request.note == "left":
            continue
        own_arrivals = arrivals_by_attempt[request.attempt]
        is_excused = (
            request.ended_at - request.started_at >= timeout_seconds
            or _crosses_close(request, own_arrivals, stopped_at)
            or _is_broken_off_by_target(request, own_arrivals, ends)
            or _outlasts_grace(request, own_arrivals, stopped_at)
        )
        if not is_excused:
            violations.append(
                f"{request.kind} {request.attempt} at {request.entry_run} got no complete answer: "
                f"{request.note or 'its end is missing'} after "
                f"{request.ended_at - request.sent_at:.2f} s and {len(request.events)} events, "
                f"ran at {[arrival.target for arrival in own_arrivals]}"
            )
    return violations


def _crosses_close(
    request: records.SentRequest,
    arrivals: abc.Sequence[records.Arrival],
    stopped_at: abc.Mapping[str, float],
) -> bool:
    """Return whether a request was sent while the entry closed its connection.

    A new connection may also wait to be accepted when the process ends.
    """
    is_stopping = stopped_at.get(request.entry_run, request.ended_at) < request.ended_at
    return (
        (request.is_reused or is_stopping)
        and not arrivals
        and not request.has_bytes
        and request.ended_at - request.sent_at <= CROSSING_SECONDS
    )


def _is_broken_off_by_target(
    request: records.SentRequest,
    arrivals: abc.Sequence[records.Arrival],
    departures: abc.Iterable[tuple[str, float, float]],
) -> bool:
    """Return whether the last target to run a request ended in the middle of its answer."""
    if not arrivals or not request.has_bytes:
        return False
    last = max(arrivals, key=lambda arrival: arrival.arrived_at)
    return any(
        name == last.target
        and last.arrived_at <= until <= request.ended_at
        and (last.ended_at == 0.0 or last.ended_at >= until)
        for name, _, until in departures
    )


def _outlasts_grace(
    request: records.SentRequest,
    arrivals: abc.Iterable[records.Arrival],
    stopped_at: abc.Mapping[str, float],
) -> bool:
    """Return whether a target was at work on a request in the last part of the grace time."""
    if request.entry_run not in stopped_at:
        return False
    last_part_at = stopped_at[request.entry_run] + GRACE_SECONDS * (1 - LAST_GRACE_SHARE)
    is_sent_in_time = request.sent_at <= stopped_at[request.entry_run] + GRACE_SECONDS
    return (
        is_sent_in_time
        and request.ended_at >= last_part_at
        and any(arrival.ended_at == 0.0 or arrival.ended_at >= last_part_at for arrival in arrivals)
    )


def check_left_alone(
    sent: abc.Sequence[records.SentRequest],
    arrivals: abc.Sequence[records.Arrival],
    notices: abc.Iterable[records.Notice],
) -> list[str]:
    """Check that an entry goes by what a target has said in an answer to it.

    A target that leaves gets nothing sent later than a moment after the entry has passed on its
    answer; one that asked to be left alone gets two requests at most until its time is over.

    :param arrivals: all requests that reached targets, also those that were turned away.
    """
    by_attempt = {request.attempt: request for request in sent}
    violations = []
    for notice in notices:
        told = by_attempt.get(notice.attempt)
        if told is None:
            continue
        since, until = notice.said_at + NOTICE_SECONDS, notice.said_at + notice.wait_seconds
        if not notice.wait_seconds:
            is_passed_on = told.status == 200 and told.is_complete
            if not is_passed_on or _find_last_target(arrivals, notice.attempt) != notice.target:
                continue
            since, until = told.ended_at + NOTICE_SECONDS, float("inf")
        late = [
            arrival.attempt
            for arrival in arrivals
            if (arrival.target, arrival.born) == (notice.target, notice.born)
            and since < arrival.arrived_at < until
            and arrival.attempt in by_attempt
            and by_attempt[arrival.attempt].entry_run == told.entry_run
            and (notice.wait_seconds or by_attempt[arrival.attempt].started_at > since)
        ]
        if len(late) > (WAITING_ARRIVALS if notice.wait_seconds else 0):
            violations.append(f"{late[:4]} reached {notice.target} after {notice}")
    return violations


def _find_last_target(arrivals: abc.Sequence[records.Arrival], attempt: str) -> str:
    """Return the target that a request arrived at last."""
    found = [arrival for arrival in arrivals if arrival.attempt == attempt]
    return max(found, key=lambda arrival: arrival.arrived_at).target if found else ""
