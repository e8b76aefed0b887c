"""Steps for the steward, against a small model of targets that carry commands out."""

from __future__ import annotations

import itertools
import random

import msgspec
from behave import given, then, when
from steps import fleet_target_registry

from galenavane.catalog import engine
from galenavane.control import controller, controller_state, group_command
from galenavane.fleet import replica_group, target, target_registry

TICK_SECONDS = 0.05
LIST_SECONDS = 0.02
FORM_SECONDS = 0.3
STREAM_SECONDS = 1.2
LOAD_WINDOW_SECONDS = 5.0
LOAD_OVERAGE = 1.1
LOAD_SLACK = 3


class Fleet:
    """Targets that obey commands, and the list that tells of them a little later."""

    def __init__(self, constants, rng):
        self.constants = constants
        self.rng = rng
        self.now = 100.0
        self.registry = target_registry.Registry()
        self.alive = {}
        self.last_models = {}
        self.highest = {}
        self.due = []
        self.order = itertools.count()
        self.rosters = {}
        self.been_ready = {}
        self.loads = []
        self.loaded = []
        self.violations = []
        self.commands = []
        self.loss = 0.0
        self.is_traffic = False

    def add(self, name, domain, staged=()):
        """Start a target."""
        self.alive[name] = fleet_target_registry.make_target(name, domain, staged=staged)
        self._list(name)

    def kill(self, name):
        """End a target; its entry lapses after three heartbeats."""
        del self.alive[name]
        self._at(3.6, lambda: target_registry.remove(self.registry, name, self.now))

    def _at(self, delay, action):
        self.due.append((self.now + delay, next(self.order), action))

    def _list(self, name):
        def put():
            if name in self.alive:
                target_registry.put(self.registry, self.alive[name])

        self._at(LIST_SECONDS, put)

    def _set(self, name, **changes):
        self.alive[name] = msgspec.structs.replace(self.alive[name], **changes)
        self._list(name)

    def step(self):
        """Let some time pass."""
        self.now += TICK_SECONDS
        ready = sorted(one for one in self.due if one[0] <= self.now)
        self.due = [one for one in self.due if one[0] > self.now]
        for _, _, action in ready:
            action()
        target_registry.expire(self.registry, self.now)

    def give(self, holder, command):
        """Carry a command out, unless it is lost, or late."""
        self.commands.append(command)
        name = command.target.id
        if name not in self.alive:
            controller.report_unreachable(holder, name, self.now)
            return
        if self.rng.random() < self.loss:
            if self.rng.random() < 0.5:
                self._at(self.rng.uniform(2, 12), lambda: self._obey(command))
            return
        self._obey(command)

    def _obey(self, command):
        one = self.alive.get(command.target.id)
        if one is None:
            return
        if isinstance(command, group_command.Stage):
            self._stage(one, command.model)
            return
        key = (command.key.name, command.key.epoch)
        held = one.membership
        own = (held.group, held.epoch) if held is not None else None
        if isinstance(command, group_command.Join):
            self._join(one, key, command)
        elif own != key:
            return
        elif isinstance(command, group_command.Leave):
            self._set(one.id, membership=None, model="")
        elif isinstance(command, group_command.Open):
            self._open(one, key)
        elif isinstance(command, group_command.Close):
            self._close(one, key)

    def _state(self, one, state):
        self._set(one.id, membership=msgspec.structs.replace(one.membership, state=state))

    def _close(self, one, key):
        """A head that is told to close ends its streams first."""
        if one.membership.state is not target.GroupState.OPEN:
            return
        self._state(one, target.GroupState.CLOSING)

        def end():
            now = self.alive.get(one.id)
            if now is not None and now.membership is not None and self._key(now) == key:
                self._state(now, target.GroupState.READY)

        self._at(STREAM_SECONDS, end)

    def _stage(self, one, name):
        wait = self._load_seconds(one.id, self.constants.find_model(name))

        def keep():
            if one.id in self.alive:
                self._set(one.id, staged=(name,))

        self._at(wait, keep)

    def _load_seconds(self, name, model):
        """Begin a load; before the first request it takes a tenth and does not count."""
        if not self.is_traffic:
            return model.load_seconds / 10
        self.loads.append(self.now)
        self.loaded.append((name, model.name))
        return model.load_seconds

    def _join(self, one, key, command):
        if key[1] < self.highest.get(one.id, 0) or (one.membership and key == self._key(one)):
            return
        self._check_alone(one)
        self.highest[one.id] = key[1]
        self.rosters[key] = command.members
        model = self.constants.find_model(command.model)
        is_quick = self.last_models.get(one.id) == model.name or model.name in one.staged
        if self.last_models.get(one.id) == model.name:
            wait = 0.2
        elif model.name in one.staged:
            wait = model.warm_seconds
        else:
            wait = self._load_seconds(one.id, model)
        rank = command.members.index(one.id)
        joining = target.Membership(*key, rank, target.GroupState.JOINING)
        self._set(one.id, membership=joining, model="")
        self._at(wait, lambda: self._ready(one.id, key, model, is_quick))

    def _key(self, one):
        return (one.membership.group, one.membership.epoch)

    def _check_alone(self, one):
        """A target may not be taken while the head of its group is open."""
        if one.membership is None:
            return
        roster = self.rosters[self._key(one)]
        head = self.alive.get(roster[0])
        if head is None or head.membership is None or self._key(head) != self._key(one):
            return
        if head.membership.state is target.GroupState.OPEN:
            self.violations.append(f"{one.id} taken from {self._key(one)}")

    def _ready(self, name, key, model, is_quick):
        one = self.alive.get(name)
        if one is None or one.membership is None or self._key(one) != key:
            return
        self.last_models[name] = model.name
        self.been_ready.setdefault(key, set()).add(name)
        ready = msgspec.structs.replace(one.membership, state=target.GroupState.READY)
        # Only a load changes what the host keeps.
        staged = one.staged if is_quick else (model.name,)
        self._set(name, membership=ready, model=model.name, staged=staged)

    def _open(self, one, key):
        if one.membership.state is not target.GroupState.READY:
            return
        if set(self.rosters[key]) != self.been_ready.get(key, set()):
            self.violations.append(f"{key} opened before all were ready")

        def serve():
            now = self.alive.get(one.id)
            if now is not None and now.membership is not None and self._key(now) == key:
                self._state(now, target.GroupState.OPEN)

        self._at(FORM_SECONDS, serve)

    def serving(self, model):
        """Return the groups of a model that serve, all of their members alive."""
        found = replica_group.assemble(
            self.alive.values(), self.constants, fleet_target_registry.SERVICE
        )
        return [one for one in found.values() if one.model == model and one.is_serving]


def work(context, seconds):
    """Let the steward decide and the fleet obey."""
    until = context.fleet.now + seconds
    while context.fleet.now < until:
        fleet = context.fleet
        fleet.step()
        if context.controller is None:
            continue
        commands = controller.decide(
            context.controller,
            fleet.registry,
            fleet_target_registry.SERVICE,
            fleet.constants,
            fleet.now,
        )
        for command in commands:
            fleet.give(context.controller, command)


def start(context, constants, domains, size, seed=1):
    """Build a fleet and its first steward."""
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
def start_grown(context, size):
    models = [
        engine.Model("large", 12, 0.5, 1.0, 16.0, 1.6),
        engine.Model("small", 6, 0.5, 0.6, 12.0, 1.1),
    ]
    start(context, fleet_target_registry.make_engine(models), 1, size)


@when("the steward works for {seconds:g} s")
def let_work(context, seconds):
    work(context, seconds)


def begin_traffic(context):
    """From the first request on loads count and take their full time."""
    context.fleet.is_traffic = True
    context.controller.has_traffic = True


def kill_reported(context, names):
    """End targets, and report the groups that stand still for it."""
    begin_traffic(context)
    for name in names:
        held = context.fleet.alive[name].membership
        context.fleet.kill(name)
        key = replica_group.Key(held.group, held.epoch)
        controller.report_stalled_group(context.controller, key, [name], context.fleet.now)


def list_spares(context):
    """Return the ids of the spares."""
    return [
        one.id
        for one in context.fleet.alive.values()
        if one.membership is not None and one.membership.group.startswith("standby")
    ]


@when('a member of the group of "{model}" dies and is reported')
def kill_member(context, model):
    kill_reported(context, [context.fleet.serving(model)[0].members[2].id])


@when('both spares and a member of the group of "{model}" die and are reported')
def kill_spares(context, model):
    kill_reported(context, [context.fleet.serving(model)[0].members[2].id, *list_spares(context)])


@when('all spares and a member of the group of "{model}" die and are reported')
def kill_all_spares(context, model):
    kill_reported(context, [context.fleet.serving(model)[0].members[2].id, *list_spares(context)])


@when("a target without weights is added")
def add_target(context):
    context.fleet.add("new", "d0")


@when('a member of the group of "{model}" is to leave')
def let_leave(context, model):
    begin_traffic(context)
    context.leaving = context.fleet.serving(model)[0].members[2].id
    context.fleet._set(context.leaving, is_leaving=True)


@when("another steward takes over")
def take_over(context):
    has_traffic = context.controller.has_traffic
    context.controller = controller_state.ControllerState(context.controller.token + 1)
    context.controller.has_traffic = has_traffic


@when("a steward takes over that has not seen the list yet")
def take_over_blind(context):
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
    for one in list(context.fleet.alive.values()):
        context.fleet._set(one.id, staged=(one.model,))
    context.fleet.commands.clear()


@then("no target was told to stage")
def check_not_staged(context):
    staged = [one for one in context.fleet.commands if isinstance(one, group_command.Stage)]
    assert not staged, len(staged)


@when("members die, commands are lost or late and holders change, by seed {seed:d}")
def disturb(context, seed):
    rng = random.Random(seed)
    context.fleet.rng = random.Random(seed + 1000)
    work(context, 8)
    begin_traffic(context)
    context.fleet.loss = 0.3
    for number in range(12):
        work(context, rng.uniform(0.5, 3))
        if rng.random() < 0.4:
            take_over(context)
        victim = rng.choice(sorted(context.fleet.alive))
        domain = context.fleet.alive[victim].domain
        held = context.fleet.alive[victim].membership
        context.fleet.kill(victim)
        if held is not None and rng.random() < 0.7:
            key = replica_group.Key(held.group, held.epoch)
            controller.report_stalled_group(context.controller, key, [victim], context.fleet.now)
        context.fleet.add(f"{domain}-new{number}", domain)
    context.fleet.loss = 0.0


@then('{large:d} group of "large" and {small:d} group of "small" serve')
@then('{large:d} group of "large" and {small:d} groups of "small" serve')
def check_serving(context, large, small):
    found = (len(context.fleet.serving("large")), len(context.fleet.serving("small")))
    assert found == (large, small), found


@then('a spare holds "large" and a spare holds "small"')
def check_spares(context):
    held = sorted(context.fleet.alive[one].model for one in list_spares(context))
    assert held == ["large", "small"], held


@then("no command is given in the next {seconds:g} s")
def check_quiet(context, seconds):
    before = len(context.fleet.commands)
    work(context, seconds)
    assert len(context.fleet.commands) == before, context.fleet.commands[before:]


@then("the leaving target is in no group")
def check_left(context):
    assert context.fleet.alive[context.leaving].membership is None


@then("no target loaded the same weights twice")
def check_loads(context):
    loaded = context.fleet.loaded
    assert len(loaded) == len(set(loaded)), sorted(loaded)


@then("no group opened before all of its members were ready")
@then("no target joined a group while it was in another that served")
def check_violations(context):
    assert not context.fleet.violations, context.fleet.violations


@then("loads stayed within the rate of the weight store")
def check_load_rate(context):
    rate = context.fleet.constants.loads_per_second
    bound = rate * LOAD_WINDOW_SECONDS * LOAD_OVERAGE + LOAD_SLACK
    for first in context.fleet.loads:
        window = [one for one in context.fleet.loads if first <= one < first + LOAD_WINDOW_SECONDS]
        assert len(window) <= bound, window


@then("when all is calm for {seconds:g} s every domain serves both models")
def check_recovered(context, seconds):
    work(context, seconds)
    for model in ("large", "small"):
        domains = {one.domain for one in context.fleet.serving(model)}
        assert domains == {"d0", "d1"}, (model, domains)
