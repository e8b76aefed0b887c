"""Checks when a draining group counts as drained."""

from __future__ import annotations

import dataclasses
import random

import control_plan as planned
import msgspec
import trio
from behave import given, then, when

from galenavane.control import drain_check, table
from galenavane.entry import control_task
from galenavane.entry import view as views
from galenavane.peer import shared_state, state_delta
from galenavane.route import pool, router
from galenavane.route import state as route_state
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


def publish(value, content):
    """Publish a value, which only a task may do."""

    async def run():
        value.publish(content)

    trio.run(run)


def make_view():
    """Build the view of the lease holder, with a peer."""
    view = views.View(None, "", None, None, random.Random(1), None, None)
    publish_peer(view, route_state.State())
    return view


def publish_peer(view, router_state):
    """Publish what a peer whose router has this state sends."""
    sent = state_delta.DeltaSender().next_delta(router.describe_for_peers(router_state, 0.0))
    received = state_delta.apply(shared_state.SharedState(), sent)
    publish(view.peer_states, {"b": shared_state.PeerState("b", "", 0.0, received)})


def check_for(context, seconds):
    """Check for a time whether the group is drained."""
    for _ in range(int(seconds / STEP_SECONDS) + 1):
        context.now += STEP_SECONDS
        in_flight = control_task.count_sends_in_flight(context.view)
        context.drained_epochs = drain_check.update(
            context.drain_state, context.draining, context.statuses, in_flight, context.now
        )


@when("{entry} has a request in flight in the group for {seconds:d} seconds")
def send_request(context, entry, seconds):
    context.view = make_view()
    context.now, context.drain_state = 0.0, drain_check.State()
    group = context.draining.groups[0]
    context.pool_key = pool.Pool(group.service, group.model, group.version).key()
    context.is_peer = entry == "a peer"
    context.router_state = route_state.State() if context.is_peer else context.view.router
    context.router_state.in_flight.record_send(group.name, context.pool_key, 0.0, 0.0)
    publish_sender(context)
    check_for(context, seconds)


@when("that request has ended for {seconds:d} seconds")
def end_request(context, seconds):
    group = context.draining.groups[0]
    context.router_state.in_flight.record_end(group.name, context.pool_key)
    publish_sender(context)
    check_for(context, seconds)


def publish_sender(context):
    """Publish the state of the entry that has sent the request."""
    if context.is_peer:
        publish_peer(context.view, context.router_state)
    else:
        own = router.describe_for_peers(context.router_state, 0.0)
        publish(context.view.own_shared_state, own)
