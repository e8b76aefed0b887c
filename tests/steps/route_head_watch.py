"""Steps for the detection of stalled heads."""

from __future__ import annotations

import math

from behave import given, then, when

from galenavane.route import head_watch

STEP_SECONDS = 0.005
Verdict = head_watch.Verdict


@given("a head with {count:d} streams that send an event every {interval:d} ms")
def make_head(context, count, interval):
    context.now = 10.0
    context.interval = interval / 1000
    context.head = head_watch.Activity(context.interval)
    context.verdicts = set()
    for number in range(count):
        head_watch.record_send(context.head, str(number), 0.15, context.now)
        head_watch.record_event(context.head, str(number), context.now)


@when("{seconds:g} s pass with events")
@when("{seconds:g} s passes with events")
def run_events(context, seconds):
    until = context.now + seconds
    due = context.now + context.interval
    while context.now < until:
        context.now += STEP_SECONDS
        if context.now >= due:
            due += context.interval
            for request in list(context.head.streaming):
                head_watch.record_event(context.head, request, context.now)
        context.verdicts.add(head_watch.evaluate(context.head, context.now))


@when("its streams stop sending events")
def stop_events(context):
    context.silent_at = context.now


@when("a request with a prompt is sent")
def send_request(context):
    head_watch.record_send(context.head, "new", 0.15, context.now)
    context.silent_at = context.now


@then("the head is healthy all the time")
def check_healthy(context):
    assert context.verdicts == {Verdict.HEALTHY}, context.verdicts


def find_verdict(context, verdict, seconds):
    """Return the silence in seconds after which a verdict is given, or ``None``."""
    for step in range(int(seconds / STEP_SECONDS) + 1):
        at = context.silent_at + step * STEP_SECONDS
        if head_watch.evaluate(context.head, at) is verdict:
            return step * STEP_SECONDS
    return None


@then("its members are to be checked within {seconds:g} s")
def check_checked(context, seconds):
    assert find_verdict(context, Verdict.CHECK, seconds) is not None


@then("its members are not to be checked within {seconds:g} s")
def check_not_checked(context, seconds):
    assert find_verdict(context, Verdict.CHECK, seconds) is None


@then("the head counts as stalled after {seconds:g} s whatever they answer")
def check_stalled(context, seconds):
    silence = find_verdict(context, Verdict.STALLED, seconds + 0.1)
    assert silence is not None and abs(silence - seconds) < 0.02, silence


@then("it is healthy until the next evaluation and not at it")
def check_next_evaluation(context):
    due_at = head_watch.next_evaluation_at(context.head, context.silent_at)
    assert due_at > context.silent_at
    at = context.silent_at
    while at < due_at:
        assert head_watch.evaluate(context.head, at) is Verdict.HEALTHY, at
        assert abs(head_watch.next_evaluation_at(context.head, at) - due_at) < 1e-9
        at += STEP_SECONDS
    assert head_watch.evaluate(context.head, due_at + 1e-9) is Verdict.CHECK


@then("its next evaluation is never")
def check_never_due(context):
    assert head_watch.next_evaluation_at(context.head, context.now) == math.inf


@when("it is reported as stalled after {seconds:g} s")
def report_stalled(context, seconds):
    assert head_watch.evaluate(context.head, context.silent_at + seconds) is Verdict.STALLED
    context.head.is_stalled = True


@when("a stream sends an event after {seconds:g} s")
def send_event(context, seconds):
    at = context.silent_at + seconds
    context.ended_silence = head_watch.record_event(context.head, "0", at)
    context.silent_at = at


@when("all its requests are ended after {seconds:g} s")
def end_requests(context, seconds):
    for request in list(context.head.streaming):
        head_watch.record_end(context.head, request)
    context.silent_at += seconds
    head_watch.record_send(context.head, "later", 0.15, context.silent_at)
    context.ended_silence = head_watch.record_event(context.head, "later", context.silent_at)


@then("it does not count as stalled within {seconds:g} s")
def check_not_stalled(context, seconds):
    assert find_verdict(context, Verdict.STALLED, seconds) is None


@then("a silence of {seconds:g} s has ended")
def check_silence_ended(context, seconds):
    assert abs((context.ended_silence or 0.0) - seconds) < 1e-6, context.ended_silence
    assert not context.head.is_stalled
    assert find_verdict(context, Verdict.STALLED, 0.9) is not None
