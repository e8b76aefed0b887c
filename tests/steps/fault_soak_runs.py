"""Steps of the fault soak: short runs, and the violations that its checks report."""

from __future__ import annotations

import trio
from behave import given, then, when
from fault_soak import checks, records, run

TIMEOUT_SECONDS = 80.0


def make_request(**changes):
    """Build the record of a caller's request."""
    return records.SentRequest("a1", changes.pop("kind", "stream"), "e0/1", 100.0, **changes)


def make_arrival(arrived_at=100.1, target="t0", ended_at=0.0):
    """Build the record of a request at a target."""
    return records.Arrival("a1", target, "acme", arrived_at, ended_at)


def check_unanswered(arrivals=(), stopped_at=None, departures=(), **changes):
    """Apply the check to a request that was sent at 100.0 and got no complete answer."""
    request = make_request(**{"sent_at": 100.0, "ended_at": 101.5, **changes})
    stops = {} if stopped_at is None else {"e0/1": stopped_at}
    return checks.check_answered([request], arrivals, stops, departures, 6.0)


def check_alone(wait_seconds, count):
    """Apply the check to requests that reach a target 1 s after it said something."""
    told = make_request(status=200, is_complete=True, ended_at=100.2)
    arrivals = [make_arrival()]
    sent = [told]
    for number in range(count):
        name = f"b{number}"
        sent.append(records.SentRequest(name, "stream", "e0/1", 101.0))
        arrivals.append(records.Arrival(name, "t0", "acme", 101.2))
    notice = records.Notice("a1", "t0", 0, 100.1, wait_seconds)
    return checks.check_left_alone(sent, arrivals, [notice])


FOUND_BY_RECORDS = {
    "a stream misses an event": lambda: checks.check_streams([make_request(events=[1, 3])]),
    "a stream ends normally before its last event": lambda: checks.check_streams(
        [make_request(events=[1, 2], expected=3, status=200, is_complete=True)]
    ),
    "an order ran twice": lambda: checks.check_at_most_once(
        [make_request(kind="order")], [make_arrival(), make_arrival(target="t1")]
    ),
    "a request that was told 503 ran": lambda: checks.check_not_run(
        [make_request(status=503)], [make_arrival()]
    ),
    "a request ran 7 s after its key was removed": lambda: checks.check_revoked(
        [make_request(key="k")], [make_arrival()], {"k": 93.0}
    ),
    "a request reached a target 5 s after it left": lambda: checks.check_leaving(
        [make_arrival()], [("t0", 95.0, 101.0)]
    ),
    "a request reached a target that had said it leaves": lambda: check_alone(0.0, 1),
    "3 requests reached a target that had asked to wait": lambda: check_alone(2.0, 3),
    "a process went back to an earlier configuration": lambda: checks.check_versions(
        {"e0/1": [3, 4, 3]}
    ),
    "a target was taken from a serving group": lambda: checks.check_joins(["t0"]),
    "a stream is broken off and its target goes on": lambda: check_unanswered(
        [make_arrival(ended_at=102.0)], has_bytes=True, events=[1], status=200
    ),
    "a request that reached a target gets no byte": lambda: check_unanswered(
        [make_arrival()], ended_at=100.1, is_reused=True
    ),
    "a connection closes 1.5 s after a request": lambda: check_unanswered(is_reused=True),
    "a new connection closes and the entry goes on": lambda: check_unanswered(ended_at=100.1),
    "a connection closes in an answer's head": lambda: check_unanswered(
        ended_at=100.1, is_reused=True, has_bytes=True
    ),
    "a target leaves before a stream is sent to another": lambda: check_unanswered(
        [make_arrival(ended_at=100.3), make_arrival(100.4, "t1")],
        departures=[("t0", 95.0, 100.3)],
        has_bytes=True,
    ),
    "a target leaves before an answer begins": lambda: check_unanswered(
        [make_arrival(ended_at=101.4)], departures=[("t0", 95.0, 101.4)]
    ),
    "a target leaves after its answer": lambda: check_unanswered(
        [make_arrival(ended_at=101.0)], departures=[("t0", 95.0, 101.4)], has_bytes=True
    ),
    "an entry ends early in its grace time": lambda: check_unanswered(
        [make_arrival()], stopped_at=99.5
    ),
    "an entry ends after the target's answer": lambda: check_unanswered(
        [make_arrival(ended_at=101.0)], stopped_at=98.9
    ),
    "a request waits for a target until its entry ends": lambda: check_unanswered(stopped_at=98.9),
    "a caller gives up before the time limit": lambda: check_unanswered(
        note="timeout", ended_at=105.9
    ),
}
ALLOWED_RECORDS = {
    "a complete refusal": {"is_complete": True, "status": 503},
    "a stream that its caller left": {"note": "left", "has_bytes": True},
    "a request that was not sent completely": {"sent_at": 0.0},
    "a request that crossed the close of a kept connection": {
        "is_reused": True,
        "ended_at": 100.1,
    },
    "a request on a new connection as its entry ends": {"ended_at": 100.1, "stopped_at": 97.2},
    "a stream whose target left": {
        "arrivals": [make_arrival(ended_at=101.4)],
        "departures": [("t0", 95.0, 101.4)],
        "has_bytes": True,
    },
    "a target at work in the last part of the grace time": {
        "arrivals": [make_arrival(ended_at=101.5)],
        "stopped_at": 98.9,
    },
    "a request that lasted until its time limit": {"note": "timeout", "ended_at": 106.0},
}


@when("the faults of seed {seed:d} are injected for {seconds:d} s")
def run_faults(context, seed, seconds):
    _run_seed(context, seed, seconds, "faults")


@when("the notices of seed {seed:d} are given for {seconds:d} s")
def run_notices(context, seed, seconds):
    _run_seed(context, seed, seconds, "notices")


@when("the planned work of seed {seed:d} is carried out for {seconds:d} s")
def run_planned_work(context, seed, seconds):
    _run_seed(context, seed, seconds, "planned")


def _run_seed(context, seed, seconds, plan_name):
    async def limited():
        with trio.fail_after(TIMEOUT_SECONDS):
            return await run.run_seed(seed, float(seconds), context.folder, plan_name)

    context.violations = trio.run(limited)


@then("no guarantee is violated")
def check_violations(context):
    assert not context.violations, context.violations


@given("records in which {violation}")
def apply_check(context, violation):
    context.findings = FOUND_BY_RECORDS[violation]()


@then('the check of "{check}" reports it')
def check_one_finding(context, check):
    assert len(context.findings) == 1, context.findings


@given("records of {case}")
def apply_allowed_case(context, case):
    context.findings = check_unanswered(**ALLOWED_RECORDS[case])


@then("the check of answers reports nothing")
def check_no_finding(context):
    assert not context.findings, context.findings
