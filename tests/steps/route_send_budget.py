"""Steps for the limit of further sends."""

from __future__ import annotations

from behave import given, then, when

from galenavane.route import send_budget

WINDOW_SECONDS = 10.0
RATIO = 0.2
SLACK = 130


@given(
    "{entries:d} entries that each get {rate:d} requests per second and try to send all of them "
    "again"
)
def make_entries(context, entries, rate):
    budgets = [send_budget.SendBudget(RATIO, SLACK, WINDOW_SECONDS) for _ in range(entries)]
    context.budgets = budgets
    context.rate = rate
    context.first_sends, context.further_sends = [], []


@when("they get requests for {seconds:d} s")
def pass_seconds(context, seconds):
    for number in range(seconds * context.rate):
        now = number / context.rate
        for budget in context.budgets:
            budget.count_first(now)
            context.first_sends.append(now)
            if budget.try_spend(len(context.budgets), now):
                context.further_sends.append(now)


@then("in any {window:d} s at most {ratio:g} of the requests plus {slack:d} were sent again")
def check_bound(context, window, ratio, slack):
    for start in range(0, 10):
        first = sum(start <= at < start + window for at in context.first_sends)
        further = sum(start <= at < start + window for at in context.further_sends)
        assert further <= ratio * first + slack, (start, first, further)
