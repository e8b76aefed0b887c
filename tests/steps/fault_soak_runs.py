"""Steps of the fault soak: short runs, and the violations that its checks report."""

from __future__ import annotations

import trio
from behave import given, then, when
from fault_soak import checks, records, run

TIMEOUT_SECONDS = 80.0


def make_request(**changes):
    """Build the record of a caller's request."""
    return records.SentRequest("a1", changes.pop("kind", "stream"), "e0/1", 100.0, **changes)


def make_arrival(arrived_at=100.1, target="t0"):
    """Build the record of a request at a target."""
    return records.Arrival("a1", target, "acme", arrived_at)


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
    "a process went back to an earlier configuration": lambda: checks.check_versions(
        {"e0/1": [3, 4, 3]}
    ),
    "a target was taken from a serving group": lambda: checks.check_joins(["t0"]),
}


@when("the faults of seed {seed:d} are injected for {seconds:d} s")
def run_seed(context, seed, seconds):
    async def limited():
        with trio.fail_after(TIMEOUT_SECONDS):
            return await run.run_seed(seed, float(seconds), context.folder)

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
