"""Steps for whether a target may be sent requests."""

from __future__ import annotations

import msgspec
from behave import given, then, when
from steps import fleet_target_registry

from galenavane.fleet import target_registry
from galenavane.net import address
from galenavane.route import target_permit

NOW = 100.0


@given("a listed target")
def list_target(context):
    context.listed = fleet_target_registry.make_target("t")
    context.targets = target_registry.Registry()
    target_registry.replace_all(context.targets, [context.listed], 50, NOW)
    context.waits = {}
    context.suspected_until = 0.0
    context.is_paused = False


def decide(context, now=NOW):
    """Return the decision for the listed target."""
    return target_permit.decide(
        context.listed,
        context.targets,
        context.waits,
        context.suspected_until,
        context.is_paused,
        now,
    )


@when("it is suspected")
def suspect(context):
    context.suspected_until = NOW + 1.0


@when("it is suspected and paused")
def pause(context):
    suspect(context)
    context.is_paused = True


@when("it is suspected and asked to wait")
def suspect_waiting(context):
    suspect(context)
    ask(context, 5.0)


@when("it asked to wait and leaves")
def ask_and_leave(context):
    ask(context, 5.0)
    say_leaving(context)


@when("it is listed at another address")
def move(context):
    moved = msgspec.structs.replace(context.listed, address=address.Address("10.0.0.9", 81))
    target_registry.put(context.targets, moved)


@when("it leaves and is no longer listed")
def leave_list(context):
    say_leaving(context)
    target_registry.remove(context.targets, "t", NOW)


@when("it asks to be left alone for {seconds:g} s")
def ask(context, seconds):
    target_permit.record_wait(context.waits, "t", context.listed.incarnation, seconds, NOW)


@when("it says that it leaves")
def say_leaving(context):
    assert target_registry.mark_leaving(context.targets, "t", context.listed.incarnation)
    assert not target_registry.mark_leaving(context.targets, "t", context.listed.incarnation)


@when("its record is listed as ready again")
def list_again(context):
    target_registry.put(context.targets, msgspec.structs.replace(context.listed, slots=7))


@when("it is listed with a new start")
def list_new_start(context):
    context.listed = msgspec.structs.replace(context.listed, incarnation=2)
    target_registry.put(context.targets, context.listed)


@when("its record ends and it is listed again")
def end_record(context):
    target_registry.remove(context.targets, "t", NOW)
    target_registry.put(context.targets, context.listed)


@when("{count:d} other targets ask to be left alone for 1 s each, one after the other")
def ask_many(context, count):
    for number in range(count):
        target_permit.record_wait(context.waits, f"o{number}", 1, 1.0, NOW + number)


@then("{count:d} wishes are kept at most")
def check_kept(context, count):
    assert len(context.waits) <= count, context.waits


@then('it is not sent requests because it is "{reason}", and that is {kind}')
def check_reason(context, reason, kind):
    permit = decide(context)
    assert permit.reason is not None and permit.reason.value == reason, permit
    assert permit.is_binding == (kind == "binding"), permit


@then("it is left alone for {seconds:g} s")
def check_time(context, seconds):
    assert decide(context).until == NOW + seconds
    assert decide(context, NOW + seconds).reason is None


@then("it may be sent requests")
def check_permitted(context):
    assert decide(context).reason is None
