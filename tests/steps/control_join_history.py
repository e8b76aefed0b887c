"""Checks which joins a target may still carry out, and which reports confirm a join."""

from __future__ import annotations

import msgspec
from behave import given, then, when
from steps import fleet_target_registry

from galenavane.control import (
    controller_state,
    group_command,
    join_confirmation,
    join_history,
)
from galenavane.fleet import replica_group, target, target_report

FIRST_EPOCH = 100


@given("a target that {past}, under a holder whose epochs begin at 100")
def apply_past(context, past):
    context.state = controller_state.ControllerState(0)
    context.listed = fleet_target_registry.make_target("t1")
    context.leaves = {}
    for event in past.split(", "):
        apply_event(context, event)


def apply_event(context, event):
    """Apply one event of a target's past."""
    if event.startswith("is listed"):
        context.standby_epoch = int(event.split()[-1])
        return
    if event == "restarted":
        context.listed = msgspec.structs.replace(context.listed, incarnation=2)
    words = event.split()
    epoch = next((int(word) for word in words if word.isdigit()), None)
    if epoch is None:
        return
    history = controller_state.find_join_history(context.state, context.listed)
    is_conditional = "with" in words and "count" in words
    if words[0] == "was":
        join_history.record_sent(history, epoch, is_conditional)
    if words[0] in ("answered", "refused"):
        join_history.record_end(history, epoch, is_conditional)
    if words[0] == "left":
        join_history.record_left(history, epoch, context.leaves.pop(epoch, history.sent))
    if event.startswith("is told to leave"):
        context.leaves[epoch] = join_history.note_leave(history)
    if words[0] in ("answered", "accepted"):
        join_history.record_accepted(history, epoch)


@then("it is {result} for a new join")
def check_known_free(context, result):
    history = controller_state.find_join_history(context.state, context.listed)
    standby_epoch = getattr(context, "standby_epoch", None)
    is_known_free = join_history.is_known_free(history, FIRST_EPOCH, standby_epoch)
    assert is_known_free == (result == "known to be free"), history


def make_membership(words):
    """Return the membership that a text names, ``None`` for no group."""
    if "in the group s" not in words:
        return None
    return target.Membership("s", 7, 0, target.GroupState.READY)


@given("a join of a target that was listed {listed}")
def make_join(context, listed):
    recipient = fleet_target_registry.make_target("t1", membership=make_membership(listed))
    key = replica_group.Key("g", 9)
    context.join = group_command.Join(recipient, key, "large", ("t1",), False, is_conditional=True)


@when("the target reports that it is {reported}")
def report(context, reported):
    recipient = msgspec.structs.replace(
        context.join.target,
        membership=make_membership(reported),
        incarnation=2 if "restart" in reported else 1,
    )
    digits = [word for word in reported.split() if word.isdigit()]
    count = int(digits[0]) if digits else 0
    known_count = None if "no count" in reported else count
    context.confirmed = join_confirmation.confirm(
        context.join, target_report.TargetReport(recipient, 1.0, known_count)
    )


@then("the confirmed join is not sent")
def check_not_sent(context):
    assert context.confirmed is None, context.confirmed


@then("the confirmed join is sent with {count:d} expected commands")
def check_sent(context, count):
    assert context.confirmed == msgspec.structs.replace(context.join, expected_count=count)


@then("a join of {epoch:d} {result} be sent to it")
def check_may_send(context, epoch, result):
    history = controller_state.find_join_history(context.state, context.listed)
    assert join_history.may_send(history, epoch) == (result == "may"), history
