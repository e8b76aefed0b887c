"""Checks which commands are due for targets."""

from __future__ import annotations

import dataclasses

import control_plan as planned
import msgspec
from behave import given, then, when

from galenavane.control import commands, table
from galenavane.target import command, report


def list_commands(context, kind):
    """Return the commands of a kind that are due."""
    inputs = commands.Inputs(
        context.configuration, context.planned, context.statuses, frozenset(), 1, 0.0
    )
    return [
        addressed
        for addressed in commands.list_due_commands(inputs)
        if addressed.command.kind is kind
    ]


def forget_groups(context):
    """Make every member report no group; return the first member's name."""
    members = [member for group in context.planned.groups for member in group.members]
    for member in members:
        blank = report.Report(member.instance, member.incarnation)
        status = context.statuses[member.instance]
        context.statuses[member.instance] = dataclasses.replace(status, report=blank)
    return members[0].instance


@given("a data centre with {count:d} idle instances and {groups:d} groups of {members:d} planned")
def plan_groups(context, count, groups, members):
    context.configuration = planned.configure([("s", members, groups, 0)])
    context.statuses = planned.make_statuses(count, 5)
    empty = table.Table(planned.DATA_CENTRE, 1, 0, 1 << table.EPOCH_BITS)
    context.planned = planned.plan_once(context.configuration, empty, context.statuses)
    assert len(context.planned.groups) == groups


@when("every member reports no group and one is silent")
def forget_groups_and_silence(context):
    name = forget_groups(context)
    context.statuses[name] = dataclasses.replace(context.statuses[name], reported_at=-100.0)


@when("every member reports no group and one reports token {token:d}")
def forget_groups_and_show(context, token):
    name = forget_groups(context)
    shown = msgspec.structs.replace(context.statuses[name].report, token=token)
    context.statuses[name] = dataclasses.replace(context.statuses[name], report=shown)


@then("{count:d} members are commanded to join")
def check_joins(context, count):
    assert len(list_commands(context, command.Kind.JOIN)) == count


@then("at most {count:d} loads are commanded at once")
def check_loads(context, count):
    joins = list_commands(context, command.Kind.JOIN)
    assert sum(addressed.needs_load for addressed in joins) == count, len(joins)


@then("the free instances are commanded to load each rank's weights")
def check_standby(context):
    shards = {addressed.command.shard for addressed in list_commands(context, command.Kind.LOAD)}
    assert shards == {command.format_shard("m", "v1", rank, 2) for rank in range(2)}, shards
