"""Checks when a draining group counts as drained."""

from __future__ import annotations

import dataclasses

import control_plan as planned
import msgspec
from behave import given, then, when

from galenavane.control import drain_check, table
from galenavane.target import report

STEP_SECONDS = 0.5


@given("a draining group whose leader reports {running:d} running requests")
def make_draining(context, running):
    context.statuses = planned.make_statuses(2, 1)
    configuration = planned.configure([("s", 2, 1, 0)])
    empty = table.Table(planned.DATA_CENTRE, 1, 0, 1 << table.EPOCH_BITS)
    current, context.statuses = planned.settle(configuration, empty, context.statuses)
    group = msgspec.structs.replace(current.groups[0], phase=table.Phase.DRAINING)
    context.draining = msgspec.structs.replace(current, groups=[group])
    leader = context.statuses[group.members[0].instance]
    leader_report = msgspec.structs.replace(leader.report, load=report.Load(running=running))
    context.statuses[group.members[0].instance] = dataclasses.replace(leader, report=leader_report)


@when("entries report {in_flight:d} requests in flight for {seconds:d} seconds")
def update_for(context, in_flight, seconds):
    state = drain_check.State()
    in_flight_by_group = {context.draining.groups[0].name: in_flight}
    for step in range(int(seconds / STEP_SECONDS) + 1):
        now = step * STEP_SECONDS
        context.drained_epochs = drain_check.update(
            state, context.draining, context.statuses, in_flight_by_group, now
        )


@then("the group is drained")
def check_drained(context):
    assert context.drained_epochs == {context.draining.groups[0].epoch}


@then("the group is not drained")
def check_not_drained(context):
    assert not context.drained_epochs
