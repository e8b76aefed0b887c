"""Steps for account limits and their shares."""

from __future__ import annotations

import hypothesis
from behave import given, then, when
from hypothesis import strategies
from steps import route_fair_queue

from galenavane.config import declaration
from galenavane.route import account_limits, shares

DEMANDS = strategies.lists(strategies.floats(0.0, 1000.0), min_size=1, max_size=16)


def sum_shares(demands, unreachable):
    """Return the sum of the shares of entries that reach each other."""
    return sum(
        shares.local_fraction(demand, demands[:index] + demands[index + 1 :], unreachable)
        for index, demand in enumerate(demands)
    )


@then(
    "for any demand and any partition of up to 16 entries the shares add up to less than the "
    "overshoot"
)
def check_overshoot(context):
    @route_fair_queue.SETTINGS
    @hypothesis.given(DEMANDS, strategies.lists(strategies.integers(0, 3), min_size=16))
    def check(demands, sides):
        total = 0.0
        for side in range(4):
            side_demands = [
                demand
                for demand, demand_side in zip(demands, sides, strict=False)
                if demand_side == side
            ]
            total += sum_shares(side_demands, len(demands) - len(side_demands))
        assert total < shares.MAX_OVERSHOOT

    check()


@then("for any demand the shares of entries that all reach each other add up to 1")
def check_sum(context):
    @route_fair_queue.SETTINGS
    @hypothesis.given(DEMANDS)
    def check(demands):
        assert abs(sum_shares(demands, 0) - 1.0) < 1e-6

    check()


@then("with 3 of 6 entries unreachable the others' shares add up to at least {least:f}")
def check_half_unreachable(context, least):
    assert sum_shares([5.0, 1.0, 0.0], 3) >= least


@given("account limits at a single entry")
def make_limits(context):
    context.limits = account_limits.AccountLimits()


@when("an account limited to 10 requests per second sends 100 in one second")
def send_many(context):
    policy = declaration.Account("a", "", 10.0, 1e9)
    context.waits = [context.limits.charge(policy, 1.0, number / 100) for number in range(100)]


@then("between {low:d} and {high:d} of them are allowed and the others get a retry time")
def check_allowed(context, low, high):
    allowed = context.waits.count(0.0)
    assert low <= allowed <= high, allowed
    assert all(0.0 < wait <= 30.0 for wait in context.waits if wait)
