"""Steps for waiting for targets that answer no attempt to connect."""

from __future__ import annotations

from behave import given, then, when

from galenavane.route import accept_pause


@given("attempts to connect that were not answered at {times} s")
def fail_attempts(context, times):
    context.pauses = {}
    moments, _, again = times.partition(", and ")
    for moment in moments.split(", "):
        accept_pause.record_unanswered(context.pauses, "t", float(moment))
    context.is_answered_between = bool(again)


@when("a request of {seconds:g} s is received at {received_at:g} s")
def receive(context, seconds, received_at):
    if context.is_answered_between:
        accept_pause.record_answered(context.pauses, "t")
        accept_pause.record_unanswered(context.pauses, "t", received_at)
    context.until = accept_pause.wait_until(context.pauses, "t", received_at, received_at + seconds)


@then("it waits until {until:g} s")
def check_until(context, until):
    assert context.until == until, context.until


@given("attempts to connect to {count:d} targets, one each second, that were not answered")
def fail_many(context, count):
    context.pauses = {}
    for number in range(count):
        accept_pause.record_unanswered(context.pauses, f"t{number}", float(number))


@then("at most {count:d} of them are known")
def check_known(context, count):
    assert len(context.pauses) <= count, context.pauses
