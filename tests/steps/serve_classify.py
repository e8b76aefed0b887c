"""Steps for the outcomes of failed exchanges with a target."""

from __future__ import annotations

from behave import then

from galenavane.failure import code, failure, outcome
from galenavane.net import headers, message, transport_error
from galenavane.serve import classify


@then("a try that ended with {kind} after bytes sent {sent} has outcome {expected}")
def classify_broken(context, kind, sent, expected):
    exc = transport_error.TransportError(transport_error.Kind(kind), sent == "True")
    assert classify.classify_error(exc).outcome.value == expected


@then('a response with status {status:d} and refusal header "{mark}" has outcome {expected}')
def classify_answer(context, status, mark, expected):
    check_answer(status, mark, expected)


@then('a response with status {status:d} and refusal header "" has outcome {expected}')
def classify_unmarked(context, status, expected):
    check_answer(status, "", expected)


def check_answer(status, mark, expected):
    fields = headers.Headers()
    if mark:
        fields.add("x-not-run", mark)
    failed = classify.classify_response(message.Response(status, fields))
    assert (failed.outcome.value if failed else "answered") == expected


@then('of the outcomes "{first}" then "{second}" the caller gets "{expected}"')
def combine_outcomes(context, first, second, expected):
    reported = None
    for value in (first, second):
        failed = failure.Failure(code.Code.TARGET_LOST, value, outcome.Outcome(value))
        reported = classify.choose_worse(reported, failed)
    assert reported.outcome.value == expected
