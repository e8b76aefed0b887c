"""Steps that wait for a draining group to become quiet."""

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
    context.seen = planned.see(2, 1)
    configuration = planned.configure([("s", 2, 1, 0)])
    empty = table.Table(planned.DATA_CENTRE, 1, 0, 1 << table.EPOCH_BITS)
    current, context.seen = planned.settle(configuration, empty, context.seen)
    group = msgspec.structs.replace(current.groups[0], phase=table.Phase.DRAINING)
    context.draining = msgspec.structs.replace(current, groups=[group])
    leader = context.seen[group.members[0].instance]
    answer = msgspec.structs.replace(leader.report, load=report.Load(running=running))
    context.seen[group.members[0].instance] = dataclasses.replace(leader, report=answer)


@when("entries tell of {sends:d} requests in flight for {seconds:d} seconds")
def wait_quiet(context, sends, seconds):
    state = drain_check.State()
    told = {context.draining.groups[0].name: sends}
    for step in range(int(seconds / STEP_SECONDS) + 1):
        now = step * STEP_SECONDS
        context.quiet = drain_check.update(state, context.draining, context.seen, told, now)


@then("the group is quiet")
def check_quiet(context):
    assert context.quiet == {context.draining.groups[0].epoch}


@then("the group is not quiet")
def check_not_quiet(context):
    assert not context.quiet
