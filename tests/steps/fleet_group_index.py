"""Checks the kept groups against the naive way, which assembles all targets after each change."""

from __future__ import annotations

import random
from unittest import mock

import msgspec
from behave import given, then, when
from steps import fleet_target_registry

from galenavane.catalog import engine
from galenavane.fleet import group_index, replica_group, target, target_registry

SERVICE = fleet_target_registry.SERVICE
STATES = tuple(target.GroupState)
GROUP_SIZE = 4
FOUR = engine.Model("four", GROUP_SIZE, 1.0, 1.0, 16.0, 1.6)


def make_random_target(rng, name):
    """Build a target that may be a member of one of a few groups."""
    membership = None
    if rng.random() < 0.8:
        number = rng.randrange(8)
        membership = target.Membership(f"g{number}", 1, rng.randrange(6), rng.choice(STATES))
    model = rng.choice(("large", "small", ""))
    made = fleet_target_registry.make_target(name, membership=membership, model=model)
    return msgspec.structs.replace(made, is_leaving=rng.random() < 0.1)


def change_at_random(registry, rng, now):
    """Make one random change, as the platform's list and its outages do."""
    name = f"t{rng.randrange(40)}"
    kind = rng.random()
    if kind < 0.6:
        target_registry.put(registry, make_random_target(rng, name))
    elif kind < 0.85:
        target_registry.remove(registry, name, now)
    elif kind < 0.9:
        target_registry.drop_unlisted(registry, name)
    elif kind < 0.95:
        target_registry.record_store_recovery(registry, 1.0, now)
    else:
        target_registry.expire(registry, now)


@then("2000 random changes of a list of 40 targets with seed {seed:d} keep index and list equal")
def check_random_changes(context, seed):
    rng = random.Random(seed)
    registry = target_registry.Registry()
    constants = fleet_target_registry.make_engine()
    for step in range(2000):
        change_at_random(registry, rng, step * 0.1)
        if rng.random() < 0.5:
            continue
        members = target_registry.list_members(registry)
        naive = replica_group.assemble(members, constants, SERVICE)
        kept = group_index.find_groups(registry.index, SERVICE, constants)
        assert {key: describe(group) for key, group in kept.items()} == {
            key: describe(group) for key, group in naive.items()
        }
        for model in ("large", "small", ""):
            serving = group_index.find_serving(registry.index, SERVICE, constants, model)
            assert {group.key for group in serving} == {
                group.key for group in naive.values() if group.is_serving and group.model == model
            }


def describe(group):
    """Return what does not depend on the order of members of one rank."""
    members = sorted((member.membership.rank, member.id) for member in group.members)
    return group.key, members, group.is_complete, group.has_all_ranks


@given("a list with 880 targets in groups of 4")
def list_fleet(context):
    context.registry = target_registry.Registry()
    context.constants = fleet_target_registry.make_engine((FOUR,))
    for number in range(880):
        rank = number % GROUP_SIZE
        state = target.GroupState.OPEN if rank == 0 else target.GroupState.READY
        membership = target.Membership(f"g{number // GROUP_SIZE}", 1, rank, state)
        listed = fleet_target_registry.make_target(
            f"t{number}", membership=membership, model=FOUR.name
        )
        target_registry.put(context.registry, listed)
    groups = group_index.find_groups(context.registry.index, SERVICE, context.constants)
    assert len(groups) == 220 and all(group.is_serving for group in groups.values())


@when("one target leaves its group")
def leave_group(context):
    free = fleet_target_registry.make_target("t17")
    target_registry.put(context.registry, free)


@then("1 group is assembled again")
def check_one_assembled(context):
    with mock.patch.object(replica_group, "make", wraps=replica_group.make) as make:
        groups = group_index.find_groups(context.registry.index, SERVICE, context.constants)
    assert make.call_count == 1, make.call_count
    assert sum(not group.is_serving for group in groups.values()) == 1


@when("the size of the model is declared anew")
def declare_anew(context):
    larger = msgspec.structs.replace(FOUR, size=GROUP_SIZE + 1)
    context.constants = fleet_target_registry.make_engine((larger,))


@then("no group is complete")
def check_none_complete(context):
    groups = group_index.find_groups(context.registry.index, SERVICE, context.constants)
    assert len(groups) == 220 and not any(group.is_complete for group in groups.values())
