"""Checks which targets the registry counts as usable, and which groups they form."""

from __future__ import annotations

import msgspec
from behave import given, then, when

from galenavane.catalog import engine
from galenavane.fleet import replica_group, target, target_registry
from galenavane.net import address

SERVICE = "llm"
LARGE = engine.Model("large", 6, 0.67, 1.0, 16.0, 1.6)
SMALL = engine.Model("small", 3, 0.33, 0.6, 12.0, 1.1)


def make_engine(models=(LARGE, SMALL)):
    """Build the engine constants that a deployment publishes."""
    return engine.Engine(
        slots=13,
        stride=6,
        step_seconds=0.00645,
        decode_seconds_per_request=0.0001934,
        prefill_tokens_per_second=56_100.0,
        loads_per_second=5.5,
        loads_at_once=8,
        form_seconds=0.3,
        mean_prompt_tokens=1115.0,
        mean_answer_tokens=152.0,
        models=tuple(models),
    )


def make_target(name, domain="d0", membership=None, model="", staged=(), incarnation=1):
    """Build a target of the model service."""
    target_address = address.Address("10.0.0.1", 80)
    return target.Target(
        name,
        SERVICE,
        target_address,
        "dc",
        13,
        False,
        domain,
        staged,
        model,
        membership,
        incarnation,
    )


def make_member(rank, state=target.GroupState.READY):
    """Build a member of the large model's group; the head is open."""
    member_state = target.GroupState.OPEN if rank == 0 else state
    return make_target(
        f"t{rank}", membership=target.Membership("g", 7, rank, member_state), model="large"
    )


@given("a list with the members of an open group")
def list_open_group(context):
    context.now = 100.0
    context.registry = target_registry.Registry()
    members = [make_member(rank) for rank in range(LARGE.size)]
    target_registry.replace_all(context.registry, members, 50, context.now)


@when("the record of member {rank:d} goes missing")
def lose_record(context, rank):
    target_registry.remove(context.registry, f"t{rank}", context.now)


@when("member {rank:d} is listed as leaving")
def mark_leaving(context, rank):
    leaving = msgspec.structs.replace(make_member(rank), is_leaving=True)
    target_registry.put(context.registry, leaving)


@when("member {rank:d} is listed again")
def restore_record(context, rank):
    target_registry.put(context.registry, make_member(rank))


@when("{seconds:g} s pass on the list")
def pass_time(context, seconds):
    context.now += seconds
    target_registry.expire(context.registry, context.now)


@when("the store was silent for {seconds:g} s and is back")
def end_store_outage(context, seconds):
    target_registry.record_store_recovery(context.registry, seconds, context.now)


@when("a list of the same revision without targets arrives")
def receive_same_list(context):
    target_registry.replace_all(context.registry, [], context.registry.revision, context.now)


@when("an older list without targets arrives")
def receive_older_list(context):
    target_registry.replace_all(context.registry, [], 49, context.now)


def find_group(context):
    """Assemble the group as an entry would."""
    members = target_registry.list_members(context.registry)
    return replica_group.assemble(members, make_engine(), SERVICE)[replica_group.Key("g", 7)]


@then("the group is complete")
def check_whole(context):
    assert find_group(context).is_complete


@then("the group is not complete")
def check_not_whole(context):
    assert not find_group(context).is_complete


@then("the group serves")
def check_serves(context):
    assert find_group(context).is_serving


@then("the group does not serve")
def check_not_serving(context):
    assert not find_group(context).is_serving


@then("member {rank:d} can't be used for a new group")
def check_unusable(context, rank):
    assert f"t{rank}" not in context.registry.targets


@given('a list with a target that was last in a group of "{model}"')
def list_former_member(context, model):
    context.registry = target_registry.Registry()
    member = msgspec.structs.replace(make_member(1), model=model, last_model=model)
    target_registry.put(context.registry, member)


@when('it is listed in no group, with "{model}" as its last model')
def list_without_group(context, model):
    left = msgspec.structs.replace(make_member(1), membership=None, model="", last_model=model)
    target_registry.put(context.registry, left)


@then('its last model is "{model}"')
def check_last_model(context, model):
    assert list(context.registry.last_models.values()) == [model], context.registry.last_models
