"""Steps for the commands that an entry sends to targets."""

from __future__ import annotations

import trio
from behave import then, when
from steps import gateway_whole_path, platform_world

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
