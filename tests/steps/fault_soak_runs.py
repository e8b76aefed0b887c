"""Steps of the fault soak: short runs, and what its checks find."""

from __future__ import annotations

import trio
from behave import given, then, when
from fault_soak import checks, records, run

TIMEOUT_SECONDS = 80.0


def make_request(**changes):
    """Build a caller's record."""
    return records.SentRequest("a1", changes.pop("kind", "stream"), "e0/1", 100.0, **changes)


def make_arrival(arrived_at=100.1, target="t0"):
    """Build a target's record."""
    return records.Arrival("a1", target, "acme", arrived_at)


FOUND_BY_RECORDS = {
    "a stream misses an event": lambda: checks.check_streams([make_request(events=[1, 3])]),
    "a stream ends whole before its last event": lambda: checks.check_streams(
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
    "a process went back to an earlier configuration": lambda: checks.check_versions(
        {"e0/1": [3, 4, 3]}
    ),
    "a target was taken from a group that serves": lambda: checks.check_joins(["t0"]),
}


@when("the faults of seed {seed:d} are played for {seconds:d} s")
def run_seed(context, seed, seconds):
    async def limited():
        with trio.fail_after(TIMEOUT_SECONDS):
            return await run.run_seed(seed, float(seconds), context.folder)

    context.violations = trio.run(limited)


@then("no promise broke")
def check_violations(context):
    assert not context.violations, context.violations


@given("records in which {what}")
def apply_check(context, what):
    context.findings = FOUND_BY_RECORDS[what]()


@then('the check of "{check}" finds it')
def check_one_finding(context, check):
    assert len(context.findings) == 1, context.findings
