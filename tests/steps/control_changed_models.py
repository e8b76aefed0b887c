"""Steps for groups whose model a configuration changes."""

from __future__ import annotations

import msgspec
from behave import given, then, when
from steps import fleet_target_registry

from galenavane.control import controller, controller_state, group_command
from galenavane.fleet import target, target_registry

BEFORE = 99.0
AFTER = 100.0


@given("a group of {size:d} members that serves")
def make_group(context, size):
    context.registry = target_registry.Registry()
    for rank in range(size):
        target_registry.put(context.registry, fleet_target_registry.make_member(rank))
    context.state = controller_state.ControllerState(1)
    assert decide(context, (fleet_target_registry.LARGE, fleet_target_registry.SMALL), BEFORE) == []


def decide(context, models, now):
    """Return the commands of the lease holder."""
    constants = fleet_target_registry.make_engine(models)
    service = fleet_target_registry.SERVICE
    return controller.decide(context.state, context.registry, service, constants, now)


@when("a configuration declares groups of {size:d} for its model")
def change_size(context, size):
    changed = msgspec.structs.replace(fleet_target_registry.LARGE, size=size)
    context.models = (changed, fleet_target_registry.SMALL)
    context.commands = decide(context, context.models, AFTER)


@when("a configuration no longer declares its model")
def remove_model(context):
    context.models = (fleet_target_registry.SMALL,)
    context.commands = decide(context, context.models, AFTER)


@when("a configuration no longer declares its model, and a member is lost")
def remove_model_and_member(context):
    target_registry.remove(context.registry, "t5", AFTER)
    target_registry.expire(context.registry, AFTER + 100.0)
    context.models = (fleet_target_registry.SMALL,)
    context.commands = decide(context, context.models, AFTER)


@then("its head is commanded to close")
def check_close(context):
    closed = [item.target.id for item in context.commands if isinstance(item, group_command.Close)]
    assert closed == ["t0"], context.commands


def list_head(context, state):
    """List the head in another state of its group."""
    head = fleet_target_registry.make_member(0)
    membership = target.Membership("g", 7, 0, state)
    target_registry.put(context.registry, msgspec.structs.replace(head, membership=membership))


@when("1 s later its head is still closing")
def go_on_closing(context):
    list_head(context, target.GroupState.CLOSING)
    context.commands = decide(context, context.models, AFTER + 1.0)


@when("2 s later its head has closed")
def end_closing(context):
    list_head(context, target.GroupState.READY)
    context.commands = decide(context, context.models, AFTER + 2.0)


@then("{count:d} members are commanded to leave")
@then("all {count:d} members are commanded to leave")
def check_leaves(context, count):
    leaves = [item for item in context.commands if isinstance(item, group_command.Leave)]
    assert len(leaves) == count, context.commands


@then("no member is commanded to leave while the group serves")
def check_no_leave(context):
    leaves = [item for item in context.commands if isinstance(item, group_command.Leave)]
    assert not leaves, [leave.target.id for leave in leaves]
