"""Steps that let an instance flap."""

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
    (context.flapping,) = planned.see(1, 1).values()
    context.lost_at = 0.0
    for _ in range(losses):
        hold(context, context.lost_at, 0.0)
        context.lost_at += SILENCE_SECONDS
        hold(context, context.lost_at, SILENCE_SECONDS)


@when("an instance falls silent for 600 seconds and comes back as a new incarnation")
def restart(context):
    flap(context, 1)
    context.lost_at += RESTART_SECONDS
    answer = msgspec.structs.replace(context.flapping.report, incarnation="new")
    context.flapping = dataclasses.replace(context.flapping, report=answer)


def hold(context, now, silent_seconds):
    """Return whether the instance is held back."""
    found = dataclasses.replace(context.flapping, reported_at=now - silent_seconds)
    return bool(damping.update(context.damping, {"i0000": found}, now))


@then("it is held back for {seconds:d} seconds after the last loss")
def check_hold(context, seconds):
    if seconds:
        assert hold(context, context.lost_at + seconds - MARGIN_SECONDS, 0.0)
    assert not hold(context, context.lost_at + seconds, 0.0)
