"""Simulates days with many faults on a fleet, and measures how many of the needed groups serve.

On such a day a group member is lost permanently about every second, new targets without weights
replace some of them, 12 % of all targets are disconnected for some seconds, and 14 % leave at
the same time.
"""

from __future__ import annotations

import random

import msgspec
from behave import given, then, when
from steps import control_controller, fleet_target_registry

from galenavane.catalog import engine
from galenavane.control import controller, controller_state, formation, staging
from galenavane.fleet import replica_group, target_registry

DOMAINS = 6
SIZE = 27
MODELS = (
    engine.Model("large", 12, 0.5, 1.0, 16.0, 1.6),
    engine.Model("small", 6, 0.5, 0.6, 12.0, 1.1),
)
NEEDED = {"large": 3, "small": 8}
"""Groups of each model that the day's requests keep busy, computed from the engine's times."""
NOTICED_SECONDS = 0.3
LAPSE_SECONDS = 3.6
DAY_SECONDS = 40.0
LOST = [(2.3, 2), (5.7, 3), (9.1, 2), (11.1, 3), (14.6, 2), (17.7, 3), (21.3, 2), (23.4, 3)]
ADDED = [(13.0, 2), (15.0, 3), (17.5, 2), (21.0, 3), (25.0, 2), (28.0, 3), (31.0, 2)]
DISCONNECTED = (12.0, 0.12, 5.6)
LEAVING = (20.5, 0.14)


def is_member(record):
    """Whether a target is in a group that may serve."""
    membership = record.membership
    return membership is not None and not membership.group.startswith(
        controller_state.STANDBY_PREFIX
    )


def report_stall(context, record):
    """Report the group of a lost member as stalled, as entries do on noticing its silence."""
    fleet = context.fleet
    if is_member(record):
        key = replica_group.Key(record.membership.group, record.membership.epoch)
        holder = context.controller

        def tell():
            controller.report_stalled_group(holder, key, [record.id], fleet.now)

        fleet._run_after(NOTICED_SECONDS, tell)


def kill_members(context, rng, count):
    """End members permanently."""
    fleet = context.fleet
    members = sorted(record.id for record in fleet.alive.values() if is_member(record))
    for name in rng.sample(members, count):
        record = fleet.alive[name]
        fleet.kill(name)
        report_stall(context, record)


def add(context, rng, count):
    """Start targets without weights."""
    for _ in range(count):
        domain = rng.randrange(DOMAINS)
        context.fleet.add(f"new-{rng.getrandbits(40):x}", f"d{domain}")


def disconnect(context, rng, share, seconds):
    """Disconnect targets for a time; they keep their state."""
    fleet = context.fleet
    for name in rng.sample(sorted(fleet.alive), int(share * len(fleet.alive))):
        record = fleet.alive.pop(name)
        report_stall(context, record)

        def lapse(name=name):
            target_registry.remove(fleet.registry, name, fleet.now)

        def come_back(record=record):
            fleet.alive[record.id] = record
            fleet._publish_record(record.id)

        fleet._run_after(LAPSE_SECONDS, lapse)
        fleet._run_after(seconds, come_back)


def start_leaving(context, rng, share):
    """Mark targets as leaving, and end them some seconds later."""
    fleet = context.fleet
    for name in rng.sample(sorted(fleet.alive), int(share * len(fleet.alive))):
        fleet._update_record(name, is_leaving=True)

        def end(name=name):
            if name in fleet.alive:
                fleet.kill(name)

        fleet._run_after(rng.uniform(5.0, 7.0), end)


def run_day(context, seed):
    """Run one day; return the mean share of the needed groups of each model that served."""
    rng = random.Random(seed)
    constants = fleet_target_registry.make_engine(MODELS)
    constants = msgspec.structs.replace(constants, loads_per_second=14.0, loads_at_once=20)
    control_controller.start(context, constants, DOMAINS, SIZE, seed)
    control_controller.run_for(context, 14)
    control_controller.begin_traffic(context)
    began = context.fleet.now
    events = [(at, kill_members, (count,)) for at, count in LOST]
    events += [(at, add, (count,)) for at, count in ADDED]
    events += [
        (DISCONNECTED[0], disconnect, DISCONNECTED[1:]),
        (LEAVING[0], start_leaving, LEAVING[1:]),
    ]
    events.sort(key=lambda event: event[0])
    served = {model: [] for model in NEEDED}
    while context.fleet.now < began + DAY_SECONDS:
        while events and context.fleet.now >= began + events[0][0]:
            _, act, args = events.pop(0)
            act(context, rng, *args)
        control_controller.run_for(context, 0.5)
        for model, needed in NEEDED.items():
            served[model].append(min(1.0, len(context.fleet.list_serving(model)) / needed))
    assert not context.fleet.violations, context.fleet.violations
    return {model: sum(shares) / len(shares) for model, shares in served.items()}


@given("two heavy days of a fleet of 162 targets")
def plan_days(context):
    context.seeds = (1, 2)


@when("groups are formed at once and wait for members that load")
def run_naive_days(context):
    originals = (formation.plan_groups, staging.find_candidates)

    def plan(domain, models, fleet_groups, may_wait):
        return originals[0](domain, models, fleet_groups, True)

    formation.plan_groups, staging.find_candidates = plan, lambda *_: []
    try:
        context.naive = [run_day(context, seed) for seed in context.seeds]
    finally:
        formation.plan_groups, staging.find_candidates = originals


@when("spares load, and groups are formed from targets that hold the weights")
def run_present_days(context):
    context.present = [run_day(context, seed) for seed in context.seeds]


@then(
    "at least {share:g} of the needed groups of each model serve,"
    " and {gain:g} more than with waiting"
)
def compare(context, share, gain):
    def mean(days, model):
        return sum(day[model] for day in days) / len(days)

    present = {model: mean(context.present, model) for model in NEEDED}
    naive = {model: mean(context.naive, model) for model in NEEDED}
    assert min(present.values()) >= share, present
    assert min(present.values()) >= min(naive.values()) + gain, (present, naive)
