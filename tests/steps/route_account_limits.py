"""Steps of account limits and their shares."""

from __future__ import annotations

import hypothesis
from behave import given, then, when
from hypothesis import strategies
from steps import route_fair_queue

from galenavane.config import declaration
from galenavane.route import account_limits, shares

DEMANDS = strategies.lists(strategies.floats(0.0, 1000.0), min_size=1, max_size=16)


def side_sum(demands, silent):
    """Return the sum of the shares of entries that hear each other."""
    return sum(
        shares.local_fraction(own, demands[:at] + demands[at + 1 :], silent)
        for at, own in enumerate(demands)
    )


@then("for any demand and any partition of up to 16 entries the shares stay under the overshoot")
def check_overshoot(context):
    @route_fair_queue.SETTINGS
    @hypothesis.given(DEMANDS, strategies.lists(strategies.integers(0, 3), min_size=16))
    def check(demands, sides):
        total = 0.0
        for side in range(4):
            heard = [one for one, mine in zip(demands, sides, strict=False) if mine == side]
            total += side_sum(heard, len(demands) - len(heard))
        assert total < shares.MAX_OVERSHOOT

    check()


@then("for any demand the shares of entries that all hear each other add up to 1")
def check_sum(context):
    @route_fair_queue.SETTINGS
    @hypothesis.given(DEMANDS)
    def check(demands):
        assert abs(side_sum(demands, 0) - 1.0) < 1e-6

    check()


@then("with 3 of 6 entries silent the others' shares add up to at least {least:f}")
def check_half(context, least):
    assert side_sum([5.0, 1.0, 0.0], 3) >= least


@given("account limits at an entry alone")
def make_limits(context):
    context.limits = account_limits.AccountLimits()


@when("an account with 10 requests a second sends 100 in one second to its limits")
def send_many(context):
    policy = declaration.Account("a", "", 10.0, 1e9)
    context.waits = [context.limits.charge(policy, 1.0, at / 100) for at in range(100)]


@then("between {low:d} and {high:d} of them pass the limits and the others get a retry time")
def check_passed(context, low, high):
    passed = context.waits.count(0.0)
    assert low <= passed <= high, passed
    assert all(0.0 < wait <= 30.0 for wait in context.waits if wait)
