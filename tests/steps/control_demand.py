"""Checks how observed requests change the shares of the models."""

from __future__ import annotations

from behave import given, then, when
from steps import control_controller, fleet_target_registry

from galenavane.catalog import engine
from galenavane.control import controller, demand

STEP_SECONDS = 0.2
MODELS = (
    engine.Model("large", 12, 0.5, 1.0, 16.0, 1.6),
    engine.Model("small", 6, 0.5, 0.6, 12.0, 1.1),
)


def count_requests(constants, busy):
    """Return the number of requests that keep the given numbers of targets busy, by model."""
    return {
        name: targets / constants.find_model(name).size * constants.slots
        for name, targets in busy.items()
    }


@given("a fleet of 4 domains with 27 targets of models with 12 and 6 members and equal shares")
def start_fleet(context):
    control_controller.start(context, fleet_target_registry.make_engine(MODELS), 4, 27)


@given("declared shares of 0.5 and 0.5")
def declare(context):
    context.constants = fleet_target_registry.make_engine(MODELS)
    context.demand = demand.Demand()


@when('requests keep {small:d} targets of "small" and {large:d} of "large" busy for {seconds:d} s')
def send_requests(context, small, large, seconds):
    busy = {"small": small, "large": large}
    fleet = getattr(context, "fleet", None)
    for number in range(round(seconds / STEP_SECONDS)):
        if fleet is None:
            requests = count_requests(context.constants, busy)
            demand.record_load(context.demand, requests, context.constants, number * STEP_SECONDS)
            continue
        requests = count_requests(fleet.constants, busy)
        controller.record_load(context.controller, requests, fleet.constants, fleet.now)
        control_controller.run_for(context, STEP_SECONDS)


@when('requests keep 1 target of "small" busy')
def send_one_request(context):
    demand.record_load(
        context.demand, count_requests(context.constants, {"small": 1}), context.constants, 0
    )


@when("a member of every group dies and is reported")
def kill_members(context):
    serving = context.fleet.list_serving("large") + context.fleet.list_serving("small")
    control_controller.kill_and_report(context, [group.members[2].id for group in serving])


@then('"small" has at least {factor:d} times the groups of "large"')
def compare(context, factor):
    large, small = len(context.fleet.list_serving("large")), len(
        context.fleet.list_serving("small")
    )
    assert large >= 1 and small >= factor * large, (large, small)


@then("the shares are {large:g} and {small:g}")
def check_shares(context, large, small):
    shares = {model.name: model.share for model in demand.adjust_shares(context.demand, MODELS)}
    assert abs(shares["large"] - large) < 0.02 and abs(shares["small"] - small) < 0.02, shares
