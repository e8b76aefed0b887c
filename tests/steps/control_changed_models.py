"""Steps for groups whose model a configuration changes."""

from __future__ import annotations

import msgspec
from behave import given, then, when
from steps import fleet_target_registry

from galenavane.control import controller, controller_state, group_command
from galenavane.fleet import target_registry

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
    context.commands = decide(context, (changed, fleet_target_registry.SMALL), AFTER)


@when("a configuration no longer declares its model")
def remove_model(context):
    context.commands = decide(context, (fleet_target_registry.SMALL,), AFTER)


@then("no member is commanded to leave while the group serves")
def check_no_leave(context):
    leaves = [item for item in context.commands if isinstance(item, group_command.Leave)]
    assert not leaves, [leave.target.id for leave in leaves]
