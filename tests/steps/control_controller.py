"""Runs the controller against a small model of targets that carry out its commands."""

from __future__ import annotations

import functools
import itertools
import random

import msgspec
from behave import given, then, when
from steps import fleet_target_registry

from galenavane.catalog import engine
from galenavane.control import (
    controller,
    controller_state,
    group_command,
    join_confirmation,
)
from galenavane.fleet import replica_group, target, target_registry, target_report

TICK_SECONDS = 0.05
LIST_SECONDS = 0.02
FORM_SECONDS = 0.3
STREAM_SECONDS = 1.2
LOAD_WINDOW_SECONDS = 5.0
LOAD_OVERAGE = 1.1
LOAD_SLACK = 3
LONGEST_DELAY_SECONDS = 12.0
REPORT_SECONDS = 0.4
POLL_DELAY_SECONDS = 1.7
CONFIRM_SECONDS = 0.1
CONFIRM_ATTEMPTS = 6


class Fleet:
    """Targets that carry out commands, and the list that shows their state a little later."""

    def __init__(self, constants, rng):
        self.constants = constants
        self.rng = rng
        self.now = 100.0
        self.registry = target_registry.Registry()
        self.alive = {}
        self.last_models = {}
        self.highest_epochs = {}
        self.due_actions = []
        self.sequence = itertools.count()
        self.command_counts = {}
        self.history = {}
        self.member_ids = {}
        self.ready_ids = {}
        self.load_times = []
        self.loaded_weights = []
        self.violations = []
        self.commands = []
        self.loss_rate = 0.0
        self.late_share = 0.5
        self.list_seconds = LIST_SECONDS
        self.list_due = 0.0
        self.polled_from = 0.0
        self.refused_share = 0.0
        self.confirm_seconds = CONFIRM_SECONDS
        self.has_traffic = False

    def add(self, name, domain, staged=()):
        """Start a target."""
        self.alive[name] = fleet_target_registry.make_target(name, domain, staged=staged)
        self.command_counts[name] = 0
        self._note_state(name)
        self._publish_record(name)

    def kill(self, name):
        """End a target; its record lapses after three heartbeats."""
        del self.alive[name]
        self._run_after(3.6, lambda: target_registry.remove(self.registry, name, self.now))

    def _run_after(self, delay, action):
        self.due_actions.append((self.now + delay, next(self.sequence), action))

    def _publish_record(self, name):
        record = self.alive[name]

        def put():
            if name in self.alive:
                target_registry.put(self.registry, record)

        # The list shows changes in their order.
        self.list_due = max(self.list_due, self.now + self.list_seconds)
        self._run_after(self.list_due - self.now, put)

    def set_list_seconds(self, seconds):
        """Set how old the list is."""
        if seconds > LIST_SECONDS and self.list_seconds <= LIST_SECONDS:
            self.polled_from = self.now + POLL_DELAY_SECONDS
        self.list_seconds = seconds

    def poll_reports(self, holder):
        """Update the list by the reports of joining targets, once the store is silent for long."""
        if self.list_seconds <= LIST_SECONDS or self.now < self.polled_from:
            return
        for name in controller_state.find_forming_ids(holder):
            if name in self.alive and name in self.registry.targets:
                target_registry.put(self.registry, self.report(name).target)

    def _update_record(self, name, **changes):
        self.alive[name] = msgspec.structs.replace(self.alive[name], **changes)
        self._note_state(name)
        self._publish_record(name)

    def _note_state(self, name):
        state = (self.now, self.alive[name], self.command_counts[name])
        self.history.setdefault(name, []).append(state)

    def report(self, name):
        """Return a target's report on itself, which is as old as on the platform."""
        past = [state for state in self.history[name] if state[0] <= self.now - REPORT_SECONDS]
        _, record, count = past[-1] if past else self.history[name][0]
        return target_report.TargetReport(record, 1.0, count)

    def step(self):
        """Advance the time by one tick and run the actions that are due."""
        self.now += TICK_SECONDS
        ready = sorted(action for action in self.due_actions if action[0] <= self.now)
        self.due_actions = [action for action in self.due_actions if action[0] > self.now]
        for _, _, action in ready:
            action()
        target_registry.expire(self.registry, self.now)

    def deliver(self, holder, command):
        """Carry out a command, unless it is lost or delayed."""
        self.commands.append(command)
        name = command.target.id
        if isinstance(command, group_command.Join):
            self._deliver_join(holder, command, CONFIRM_ATTEMPTS)
            return
        if name not in self.alive:
            controller.report_unreachable(holder, name, self.now)
            return
        if self.rng.random() < self.refused_share:
            controller.report_unreachable(holder, name, self.now)
            return
        if self.rng.random() >= self.loss_rate:
            is_leave = isinstance(command, group_command.Leave)
            sent_before = controller_state.note_leave(holder, command) if is_leave else None
            if self._obey(command) and is_leave:
                controller_state.record_left(holder, command, sent_before)
            return
        if self.rng.random() < self.late_share:
            delay = self.rng.uniform(2, LONGEST_DELAY_SECONDS)
            self._run_after(delay, lambda: self._obey(command))

    def _deliver_join(self, holder, join, attempts):
        """Carry out a join as the sender of commands does, by a report where it is conditional."""
        name = join.target.id
        if name not in self.alive:
            controller_state.record_join_end(holder, join, is_accepted=False)
            controller.report_unreachable(holder, name, self.now)
            return
        if self.rng.random() < self.refused_share:
            controller_state.record_join_end(holder, join, is_accepted=False)
            controller.report_unreachable(holder, name, self.now)
            return
        confirmed = join
        if join.is_conditional:
            confirmed = join_confirmation.confirm(join, self.report(name))
        else:
            self._check_free(join)
        if confirmed is None and attempts > 1:
            again = functools.partial(self._deliver_join, holder, join, attempts - 1)
            self._run_after(self.confirm_seconds, again)
        elif confirmed is None or not controller_state.may_send_join(holder, join):
            controller_state.record_join_end(holder, join, is_accepted=False)
        elif self.rng.random() >= self.loss_rate:
            controller_state.record_join_end(holder, join, self._obey(confirmed))
        elif self.rng.random() < self.late_share:
            delay = self.rng.uniform(2, LONGEST_DELAY_SECONDS)
            self._run_after(delay, lambda: self._obey(confirmed))

    def _check_free(self, join):
        """Record a violation if a join without a condition is sent to a member of another group."""
        record = self.alive[join.target.id]
        if record.incarnation != join.target.incarnation or record.membership is None:
            return
        key = replica_group.Key(*self._get_key(record))
        if not controller_state.is_standby(key) and key != join.key:
            self.violations.append(f"{record.id} is in {key}, and was sent {join.key}")

    def _obey(self, command):
        """Carry out a command; return whether the target accepted it."""
        record = self.alive.get(command.target.id)
        if record is None:
            return False
        if isinstance(command, group_command.Stage):
            self._count_command(record.id)
            self._stage_weights(record, command.model)
            return True
        key = (command.key.name, command.key.epoch)
        membership = record.membership
        own_key = (membership.group, membership.epoch) if membership is not None else None
        if isinstance(command, group_command.Join):
            return self._join(record, key, command)
        if own_key != key:
            return False
        self._count_command(record.id)
        if isinstance(command, group_command.Leave):
            self._update_record(record.id, membership=None, model="")
        elif isinstance(command, group_command.Open):
            self._open(record, key)
        elif isinstance(command, group_command.Close):
            self._close(record, key)
        return True

    def _count_command(self, name):
        self.command_counts[name] += 1
        self._note_state(name)

    def _set_group_state(self, record, state):
        self._update_record(
            record.id, membership=msgspec.structs.replace(record.membership, state=state)
        )

    def _close(self, record, key):
        """Close a head, which finishes its streams first."""
        if record.membership.state is not target.GroupState.OPEN:
            return
        self._set_group_state(record, target.GroupState.CLOSING)

        def end():
            current = self.alive.get(record.id)
            if (
                current is not None
                and current.membership is not None
                and self._get_key(current) == key
            ):
                self._set_group_state(current, target.GroupState.READY)

        self._run_after(STREAM_SECONDS, end)

    def _stage_weights(self, record, name):
        load_seconds = self._begin_load(record.id, self.constants.find_model(name))

        def keep():
            if record.id in self.alive:
                self._update_record(record.id, staged=(name,))

        self._run_after(load_seconds, keep)

    def _begin_load(self, name, model):
        """Begin a load; before the first request it takes a tenth of the time and isn't limited."""
        if not self.has_traffic:
            return model.load_seconds / 10
        self.load_times.append(self.now)
        self.loaded_weights.append((name, model.name))
        return model.load_seconds

    def _join(self, record, key, command):
        if key[1] < self.highest_epochs.get(record.id, 0):
            return False
        if record.membership and key == self._get_key(record):
            return True
        if command.expected_count not in (None, self.command_counts[record.id]):
            return False
        self._check_not_serving(record)
        self.command_counts[record.id] += 1
        self.highest_epochs[record.id] = key[1]
        self.member_ids[key] = command.members
        model = self.constants.find_model(command.model)
        holds_weights = self.last_models.get(record.id) == model.name or model.name in record.staged
        if self.last_models.get(record.id) == model.name:
            join_seconds = 0.2
        elif model.name in record.staged:
            join_seconds = model.warm_seconds
        else:
            join_seconds = self._begin_load(record.id, model)
        rank = command.members.index(record.id)
        joining = target.Membership(*key, rank, target.GroupState.JOINING)
        self._update_record(record.id, membership=joining, model="")
        self._run_after(
            join_seconds, lambda: self._mark_ready(record.id, key, model, holds_weights)
        )
        return True

    def _get_key(self, record):
        return (record.membership.group, record.membership.epoch)

    def _check_not_serving(self, record):
        """Record a violation if a target joins another group while its group's head is open."""
        if record.membership is None:
            return
        member_ids = self.member_ids[self._get_key(record)]
        head = self.alive.get(member_ids[0])
        if head is None or head.membership is None or self._get_key(head) != self._get_key(record):
            return
        if head.membership.state in (target.GroupState.OPEN, target.GroupState.CLOSING):
            self.violations.append(f"{record.id} taken from {self._get_key(record)}")

    def _mark_ready(self, name, key, model, holds_weights):
        record = self.alive.get(name)
        if record is None or record.membership is None or self._get_key(record) != key:
            return
        self.last_models[name] = model.name
        self.ready_ids.setdefault(key, set()).add(name)
        ready = msgspec.structs.replace(record.membership, state=target.GroupState.READY)
        # Only a load changes which weights the host keeps.
        staged = record.staged if holds_weights else (model.name,)
        self._update_record(
            name, membership=ready, model=model.name, staged=staged, last_model=model.name
        )

    def _open(self, record, key):
        if record.membership.state is not target.GroupState.READY:
            return
        if set(self.member_ids[key]) != self.ready_ids.get(key, set()):
            self.violations.append(f"{key} opened before all were ready")

        def serve():
            current = self.alive.get(record.id)
            if (
                current is not None
                and current.membership is not None
                and self._get_key(current) == key
            ):
                self._set_group_state(current, target.GroupState.OPEN)

        self._run_after(FORM_SECONDS, serve)

    def list_serving(self, model):
        """Return the serving groups of a model, with all of their members alive."""
        groups_by_key = replica_group.assemble(
            self.alive.values(), self.constants, fleet_target_registry.SERVICE
        )
        return [
            group for group in groups_by_key.values() if group.model == model and group.is_serving
        ]


def run_for(context, seconds, polls=False):
    """Run the controller, and let the fleet carry out its commands.

    :param polls: whether targets that are joining are polled while the list is old.
    """
    until = context.fleet.now + seconds
    while context.fleet.now < until:
        fleet = context.fleet
        fleet.step()
        if context.controller is None:
            continue
        if polls:
            fleet.poll_reports(context.controller)
        commands = controller.decide(
            context.controller,
            fleet.registry,
            fleet_target_registry.SERVICE,
            fleet.constants,
            fleet.now,
        )
        for command in commands:
            fleet.deliver(context.controller, command)


def start(context, constants, domains, size, seed=1):
    """Build a fleet and its first controller."""
    context.fleet = Fleet(constants, random.Random(seed))
    for domain in range(domains):
        for number in range(size):
            context.fleet.add(f"d{domain}-{number:02d}", f"d{domain}")
    context.controller = controller_state.ControllerState(1)


@given("a fleet of {domains:d} domain with {size:d} targets")
@given("a fleet of {domains:d} domains with {size:d} targets")
def start_fleet(context, domains, size):
    start(context, fleet_target_registry.make_engine(), domains, size)


@given("a fleet of 1 domain with {size:d} targets of models with 12 and 6 members and equal shares")
def start_large_fleet(context, size):
    models = [
        engine.Model("large", 12, 0.5, 1.0, 16.0, 1.6),
        engine.Model("small", 6, 0.5, 0.6, 12.0, 1.1),
    ]
    start(context, fleet_target_registry.make_engine(models), 1, size)


@when("the controller runs for {seconds:g} s")
def run_controller(context, seconds):
    run_for(context, seconds)


def begin_traffic(context):
    """Mark that requests have begun: loads are limited and take their full time from now on."""
    context.fleet.has_traffic = True
    context.controller.has_traffic = True


def kill_and_report(context, names):
    """End targets, and report their groups as stalled."""
    begin_traffic(context)
    for name in names:
        membership = context.fleet.alive[name].membership
        context.fleet.kill(name)
        key = replica_group.Key(membership.group, membership.epoch)
        controller.report_stalled_group(context.controller, key, [name], context.fleet.now)


def list_spares(context):
    """Return the ids of the spares."""
    return [
        record.id
        for record in context.fleet.alive.values()
        if record.membership is not None and record.membership.group.startswith("standby")
    ]


@when('a member of the group of "{model}" dies and is reported')
def kill_member(context, model):
    kill_and_report(context, [context.fleet.list_serving(model)[0].members[2].id])


@when('both spares and a member of the group of "{model}" die and are reported')
def kill_spares(context, model):
    kill_and_report(
        context, [context.fleet.list_serving(model)[0].members[2].id, *list_spares(context)]
    )


@when('all spares and a member of the group of "{model}" die and are reported')
def kill_all_spares(context, model):
    kill_and_report(
        context, [context.fleet.list_serving(model)[0].members[2].id, *list_spares(context)]
    )


@when("a target without weights is added")
def add_target(context):
    context.fleet.add("new", "d0")


@when('a member of the group of "{model}" is marked as leaving')
def let_leave(context, model):
    begin_traffic(context)
    context.leaving = context.fleet.list_serving(model)[0].members[2].id
    context.fleet._update_record(context.leaving, is_leaving=True)


@when("another controller takes over")
def take_over(context):
    has_traffic = context.controller.has_traffic
    context.controller = controller_state.ControllerState(context.controller.token + 1)
    context.controller.has_traffic = has_traffic


@when("a controller takes over that has no target list yet")
def take_over_without_list(context):
    context.controller = controller_state.ControllerState(context.controller.token + 1)
    fleet = context.fleet
    controller.decide(
        context.controller,
        target_registry.Registry(),
        fleet_target_registry.SERVICE,
        fleet.constants,
        fleet.now,
    )


@when("hosts keep only the model that their targets serve")
def forget_second(context):
    for record in list(context.fleet.alive.values()):
        context.fleet._update_record(record.id, staged=(record.model,))
    context.fleet.commands.clear()


@then("no target was told to stage")
def check_not_staged(context):
    stage_commands = [
        command for command in context.fleet.commands if isinstance(command, group_command.Stage)
    ]
    assert not stage_commands, len(stage_commands)


@when("members die, commands are lost or late and holders change, by seed {seed:d}")
def disturb(context, seed):
    rng = random.Random(seed)
    context.fleet.rng = random.Random(seed + 1000)
    run_for(context, 8)
    begin_traffic(context)
    context.fleet.loss_rate = 0.3
    for number in range(12):
        run_for(context, rng.uniform(0.5, 3))
        if rng.random() < 0.4:
            take_over(context)
        kill_any(context, rng, number)
    context.fleet.loss_rate = 0.0


@when(
    "targets die, holders end seconds before their successors, and joins are late, by seed {seed:d}"
)
def disturb_with_late_commands(context, seed):
    rng = random.Random(seed)
    context.fleet.rng = random.Random(seed + 1000)
    run_for(context, 8)
    begin_traffic(context)
    context.fleet.loss_rate = 0.6
    context.fleet.late_share = 1.0
    for number in range(12):
        run_for(context, rng.uniform(0.5, 3))
        if rng.random() < 0.5:
            change_holder(context, rng.uniform(0.5, 5))
        kill_any(context, rng, number)
    run_for(context, LONGEST_DELAY_SECONDS)
    context.fleet.loss_rate = 0.0


@when("connections are refused, reports slow and the list old at times, by seed {seed:d}")
def disturb_with_slow_reports(context, seed):
    rng = random.Random(seed)
    context.fleet.rng = random.Random(seed + 1000)
    run_for(context, 8)
    begin_traffic(context)
    context.fleet.late_share = 1.0
    for number in range(12):
        context.fleet.loss_rate = rng.choice((0.0, 0.3))
        context.fleet.refused_share = rng.choice((0.0, 0.1))
        context.fleet.confirm_seconds = rng.choice((CONFIRM_SECONDS, 0.5))
        context.fleet.set_list_seconds(rng.choice((LIST_SECONDS, 1.5)))
        run_for(context, rng.uniform(0.5, 3))
        if rng.random() < 0.4:
            change_holder(context, rng.uniform(0.5, 5))
        kill_any(context, rng, number)
    context.fleet.loss_rate = 0.0
    context.fleet.refused_share = 0.0
    context.fleet.confirm_seconds = CONFIRM_SECONDS
    context.fleet.set_list_seconds(LIST_SECONDS)
    run_for(context, LONGEST_DELAY_SECONDS)


@when("the list is seconds old at times while targets die and joins are late, by seed {seed:d}")
def disturb_with_old_lists(context, seed):
    rng = random.Random(seed)
    context.fleet.rng = random.Random(seed + 1000)
    run_for(context, 8)
    begin_traffic(context)
    context.fleet.late_share = 1.0
    for number in range(16):
        context.fleet.loss_rate = rng.choice((0.0, 0.6))
        context.fleet.set_list_seconds(rng.choice((LIST_SECONDS, 3.0)))
        run_for(context, rng.uniform(0.5, 3), polls=True)
        if rng.random() < 0.2:
            change_holder(context, rng.uniform(0.0, 3))
        kill_any(context, rng, number)
    context.fleet.loss_rate = 0.0
    context.fleet.set_list_seconds(LIST_SECONDS)
    run_for(context, LONGEST_DELAY_SECONDS)


def change_holder(context, gap_seconds):
    """End the holder, and start its successor after a while without a holder."""
    former, context.controller = context.controller, None
    run_for(context, gap_seconds)
    context.controller = former
    take_over(context)
    run_for(context, 0.1)


def kill_any(context, rng, number):
    """End a target, whose group's stall is mostly reported, and start another one."""
    victim = rng.choice(sorted(context.fleet.alive))
    domain = context.fleet.alive[victim].domain
    membership = context.fleet.alive[victim].membership
    context.fleet.kill(victim)
    if membership is not None and rng.random() < 0.7:
        key = replica_group.Key(membership.group, membership.epoch)
        controller.report_stalled_group(context.controller, key, [victim], context.fleet.now)
    context.fleet.add(f"{domain}-new{number}", domain)


@then('{large:d} group of "large" and {small:d} group of "small" serve')
@then('{large:d} group of "large" and {small:d} groups of "small" serve')
def check_serving(context, large, small):
    counts = (len(context.fleet.list_serving("large")), len(context.fleet.list_serving("small")))
    assert counts == (large, small), counts


@then('a spare holds "large" and a spare holds "small"')
def check_spares(context):
    models = sorted(context.fleet.alive[name].model for name in list_spares(context))
    assert models == ["large", "small"], models


@then("no command is given in the next {seconds:g} s")
def check_quiet(context, seconds):
    before = len(context.fleet.commands)
    run_for(context, seconds)
    assert len(context.fleet.commands) == before, context.fleet.commands[before:]


@then("the leaving target is in no group")
def check_left(context):
    assert context.fleet.alive[context.leaving].membership is None


@then("no target loaded the same weights twice")
def check_loads(context):
    loaded = context.fleet.loaded_weights
    assert len(loaded) == len(set(loaded)), sorted(loaded)


def list_joins(context):
    """Return the joins of the current holder."""
    first_epoch = context.controller.token << controller_state.EPOCH_BITS
    return [
        command
        for command in context.fleet.commands
        if isinstance(command, group_command.Join) and command.key.epoch >= first_epoch
    ]


@then("all joins of members that the new holder had not told to join before were conditional")
def check_first_joins(context):
    first_joins = {}
    for join in list_joins(context):
        first_joins.setdefault(join.target.id, join)
    assert first_joins
    assert all(join.is_conditional for join in first_joins.values()), first_joins


@then('there were joins of both kinds after another member of "{model}" died')
def check_later_joins(context, model):
    context.fleet.commands.clear()
    kill_member(context, model)
    run_for(context, 3)
    kinds = {join.is_conditional for join in list_joins(context)}
    assert kinds == {False, True}, kinds


@then("no group opened before all of its members were ready")
@then("no target joined a group while it was in another that served")
def check_violations(context):
    assert not context.fleet.violations, context.fleet.violations


@then("loads stayed within the rate of the weight store")
def check_load_rate(context):
    rate = context.fleet.constants.loads_per_second
    bound = rate * LOAD_WINDOW_SECONDS * LOAD_OVERAGE + LOAD_SLACK
    for first in context.fleet.load_times:
        window = [
            time for time in context.fleet.load_times if first <= time < first + LOAD_WINDOW_SECONDS
        ]
        assert len(window) <= bound, window


@then("after {seconds:g} s without faults every domain serves both models")
def check_recovered(context, seconds):
    run_for(context, seconds)
    for model in ("large", "small"):
        domains = {group.domain for group in context.fleet.list_serving(model)}
        assert domains == {"d0", "d1"}, (model, domains)


@given('a holder of two services with one group of "large" each')
def make_two_services(context):
    context.registry = target_registry.Registry()
    context.control = controller_state.Control(3)
    context.services = {"llm": 7, "second": 8}
    for service, epoch in context.services.items():
        for rank in range(fleet_target_registry.LARGE.size):
            state = target.GroupState.OPEN if rank == 0 else target.GroupState.READY
            membership = target.Membership("g", epoch, rank, state)
            member = fleet_target_registry.make_target(
                f"{service}-{rank}", membership=membership, model="large"
            )
            target_registry.put(context.registry, msgspec.structs.replace(member, service=service))


@when("a group of each service stalls and both services are decided in turn")
def stall_both(context):
    constants = fleet_target_registry.make_engine()
    for service, epoch in context.services.items():
        state = controller_state.find_service(context.control, service)
        controller.report_stalled_group(state, replica_group.Key("g", epoch), [], 100.0)
    for now in (100.0, 100.2):
        for service in context.services:
            state = controller_state.find_service(context.control, service)
            controller.record_load(state, {"large": 13.0}, constants, now)
            controller.decide(state, context.registry, service, constants, now)


@then("each service's group is still being dissolved")
def check_both_dissolving(context):
    for service, epoch in context.services.items():
        state = controller_state.find_service(context.control, service)
        assert list(state.dissolving) == [replica_group.Key("g", epoch)], state.dissolving


@then("the load of each service is smoothed over its own time")
def check_both_loads(context):
    first, second = (
        controller_state.find_service(context.control, service).demand.busy_targets["large"]
        for service in context.services
    )
    assert first == second > 0, (first, second)


@given("a holder of two services that numbers {count:d} formations of each in turn")
def number_formations(context, count):
    control = controller_state.Control(7)
    context.keys = [
        controller_state.allocate_key(controller_state.find_service(control, service), "group")
        for _ in range(count)
        for service in ("llm", "other")
    ]


@then("the {count:d} names and epochs are all different")
def check_keys(context, count):
    assert len({key.name for key in context.keys}) == count, context.keys
    assert len({key.epoch for key in context.keys}) == count, context.keys
