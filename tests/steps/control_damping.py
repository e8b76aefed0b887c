"""Checks for how long an instance that fails repeatedly is held back."""

from __future__ import annotations

import dataclasses

import control_plan as planned
import msgspec
from behave import then, when

from galenavane.control import damping

SILENCE_SECONDS = 5.0
RESTART_SECONDS = 600.0
MARGIN_SECONDS = 0.1


@when("an instance falls silent {losses:d} times, each for 5 seconds")
def flap(context, losses):
    context.damping = damping.State()
    (context.flapping,) = planned.make_statuses(1, 1).values()
    context.lost_at = 0.0
    for _ in range(losses):
        update_and_check(context, context.lost_at, 0.0)
        context.lost_at += SILENCE_SECONDS
        update_and_check(context, context.lost_at, SILENCE_SECONDS)


@when("an instance falls silent for 600 seconds and comes back as a new incarnation")
def restart(context):
    flap(context, 1)
    context.lost_at += RESTART_SECONDS
    new_report = msgspec.structs.replace(context.flapping.report, incarnation="new")
    context.flapping = dataclasses.replace(context.flapping, report=new_report)


def update_and_check(context, now, silent_seconds):
    """Update the histories; return whether the instance is held back."""
    status = dataclasses.replace(context.flapping, reported_at=now - silent_seconds)
    return bool(damping.update(context.damping, {"i0000": status}, now))


@then("it is held back for {seconds:d} seconds after the last loss")
def check_hold(context, seconds):
    if seconds:
        assert update_and_check(context, context.lost_at + seconds - MARGIN_SECONDS, 0.0)
    assert not update_and_check(context, context.lost_at + seconds, 0.0)
