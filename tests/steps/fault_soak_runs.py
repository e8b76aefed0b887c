"""Steps of the fault soak: short runs, and what its checks find."""

from __future__ import annotations

import trio
from behave import given, then, when
from fault_soak import checks, records, run

LIMIT_SECONDS = 80.0


def make_sent(**changes):
    """Build a caller's record."""
    return records.Sent("a1", changes.pop("kind", "stream"), "e0/1", 100.0, **changes)


def make_arrival(at=100.1, target="t0"):
    """Build a target's record."""
    return records.Arrival("a1", target, "acme", at)


BROKEN = {
    "a stream misses an event": lambda: checks.check_streams([make_sent(events=[1, 3])]),
    "a stream ends whole before its last event": lambda: checks.check_streams(
        [make_sent(events=[1, 2], expected=3, status=200, is_whole=True)]
    ),
    "an order ran twice": lambda: checks.check_once(
        [make_sent(kind="order")], [make_arrival(), make_arrival(target="t1")]
    ),
    "a request that was told 503 ran": lambda: checks.check_not_run(
        [make_sent(status=503)], [make_arrival()]
    ),
    "a request ran 7 s after its key was removed": lambda: checks.check_revoked(
        [make_sent(key="k")], [make_arrival()], {"k": 93.0}
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
def play(context, seed, seconds):
    async def limited():
        with trio.fail_after(LIMIT_SECONDS):
            return await run.play(seed, float(seconds), context.folder)

    context.broken = trio.run(limited)


@then("no promise broke")
def check(context):
    assert not context.broken, context.broken


@given("records in which {what}")
def give(context, what):
    context.found = BROKEN[what]()


@then('the check of "{check}" finds it')
def check_found(context, check):
    assert len(context.found) == 1, context.found
