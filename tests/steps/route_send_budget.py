"""Steps for further sends."""

from __future__ import annotations

from behave import given, then, when

from galenavane.route import send_budget

WINDOW_SECONDS = 10.0
RATIO = 0.2
SLACK = 130


@given("{entries:d} entries that each take {rate:d} requests a second and want to send all again")
def make_entries(context, entries, rate):
    made = [send_budget.SendBudget(RATIO, SLACK, WINDOW_SECONDS) for _ in range(entries)]
    context.entries = made
    context.rate = rate
    context.firsts, context.further = [], []


@when("they take requests for {seconds:d} s")
def pass_seconds(context, seconds):
    for tick in range(seconds * context.rate):
        now = tick / context.rate
        for one in context.entries:
            one.count_first(now)
            context.firsts.append(now)
            if one.try_spend(len(context.entries), now):
                context.further.append(now)


@then("in no {window:d} s more than {ratio:g} of the requests and {slack:d} more were sent again")
def check_bound(context, window, ratio, slack):
    for start in range(0, 10):
        first = sum(start <= at < start + window for at in context.firsts)
        again = sum(start <= at < start + window for at in context.further)
        assert again <= ratio * first + slack, (start, first, again)
