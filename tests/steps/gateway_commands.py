"""Steps for the commands that an entry sends to targets."""

from __future__ import annotations

import types

import expression
import msgspec
import trio
from behave import given, then, when
from steps import fleet_target_registry, gateway_whole_path, platform_world

from galenavane.fleet import target, target_registry, target_report
from galenavane.gateway import (
    boot_clock,
    config_state,
    control_task,
    object_store,
    targets_task,
)
from galenavane.serve import target_response

plan_step = gateway_whole_path.plan_step


@then("each target's first join expects that it has accepted no command")
def check_first_joins(context):
    @plan_step(context)
    async def step(world):
        model_targets = [item for item in world.targets.values() if item.service == "llm"]
        for member in model_targets:
            first_join = next(order for order in member.orders if order["operation"] == "join")
            assert first_join["expected"] == 0, first_join


@when("a spare carries out its next {count:d} joins late, without an answer")
def delay_joins(context, count):
    @plan_step(context)
    async def step(world):
        serving_ids = {name for head in world.serving() for name in head.members}
        world.spare = next(
            item
            for item in world.targets.values()
            if item.service == "llm" and item.name not in serving_ids
        )
        while world.spare.group is None or world.spare.group["state"] != "ready":
            await trio.sleep(0.02)
        world.spare.late_joins = count


@when("a member of the spare's domain dies")
def kill_member(context):
    @plan_step(context)
    async def step(world):
        head = next(head for head in world.serving() if head.domain == world.spare.domain)
        world.targets[head.members[2]].kill()
        # A request at the group notices the loss.
        while head.group is not None and head.group["state"] == "open":
            await world.call("/model/x", 4)


@then("the late joins have changed nothing")
def check_no_effect(context):
    @plan_step(context)
    async def step(world):
        await trio.sleep(platform_world.LATE_SECONDS)
        statuses = world.spare.late_statuses
        assert len(statuses) == 2 and 202 not in statuses, statuses


@then("the spare is still in a serving group")
def check_in_group(context):
    @plan_step(context)
    async def step(world):
        assert any(world.spare.name in head.members for head in world.serving())


@given("a target that is listed as open, and a report that it is ready")
def make_reporting_target(context):
    context.listed = fleet_target_registry.make_member(0)
    ready = msgspec.structs.replace(context.listed.membership, state=target.GroupState.READY)
    context.reported = msgspec.structs.replace(context.listed, membership=ready)


@when("the report is asked for while the store is silent, and {event} before it arrives")
def poll(context, event):
    registry = target_registry.Registry()
    target_registry.put(registry, context.listed)
    known_config = config_state.ConfigState()

    async def read_response_head():
        if event == "the store answers":
            known_config.store_answered_at = boot_clock.now()
        return types.SimpleNamespace(status=200, body=b"")

    async def do_nothing(*_):
        return b""

    async def dial(*_):
        return types.SimpleNamespace(
            send_request=do_nothing,
            read_response_head=read_response_head,
            read_body=do_nothing,
            close=do_nothing,
        )

    report = target_report.TargetReport(context.reported, 1.0, 3)
    codec = types.SimpleNamespace(
        make_report_request=lambda: None,
        decode_report=lambda listed, body: report,
        decode_notice=lambda response: target_response.Notice(),
    )
    gw = types.SimpleNamespace(
        registry=registry,
        config_state=known_config,
        codec=codec,
        net=types.SimpleNamespace(dial=dial),
    )
    trio.run(control_task.poll_report, gw, context.listed)
    context.known = registry.targets[context.listed.id]


@then("the target is known as {state}")
def check_known(context, state):
    assert context.known.membership.state is target.GroupState(state), context.known


@given("an entry whose list of revision 140 shows a target as open")
def make_listing_entry(context):
    make_reporting_target(context)
    context.registry = target_registry.Registry(revision=140)
    target_registry.put(context.registry, context.listed)


@when("its watch returns the target as ready in revision {revision:d}")
def watch(context, revision):
    change = object_store.TargetChange(context.listed.id, context.reported)

    async def watch_targets(*_):
        return expression.Ok(object_store.TargetChanges(revision, [change]))

    gw = types.SimpleNamespace(
        name="e1",
        registry=context.registry,
        store=types.SimpleNamespace(watch_targets=watch_targets),
        peers={},
        wake_control=lambda: None,
    )
    result = trio.run(targets_task.watch_targets, gw, 100, 0.0)
    assert result.ok == max(revision, 140), result
    context.known = context.registry.targets[context.listed.id]
