"""Steps for the decision on groups that are reported as stalled."""

from __future__ import annotations

from behave import given, then, when

from galenavane.control import stall_decision


@given("a reported group with {gone:d} members without a process and {silent:d} silent ones")
def make_group(context, gone, silent):
    context.gone = [f"g{number}" for number in range(gone)]
    context.silent = [f"s{number}" for number in range(silent)]
    context.departing = []


@given("{count:d} member that refuses connections as it leaves")
def add_departing(context, count):
    context.departing = [f"d{number}" for number in range(count)]


@when("its members have been silent for {seconds:g} s and its head has {requests:d} requests")
def decide(context, seconds, requests):
    silent_seconds = seconds if context.silent else None
    departing_seconds = seconds if context.departing else None
    context.verdict = stall_decision.decide(
        context.gone, requests, silent_seconds, departing_seconds
    )


@then("the decision is to {verdict} it")
def check_verdict(context, verdict):
    assert context.verdict is stall_decision.Verdict(verdict), context.verdict
