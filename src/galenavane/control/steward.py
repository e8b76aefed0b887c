"""Decides what targets are told, so that whole groups serve.

All that it needs is what targets say in the platform's list, so a successor can go on from
nothing. A late or repeated command is harmless: epochs grow with the lease's number, and every
command but a join names the one formation that it is for.
"""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.catalog import engine
from galenavane.control import formation, group_command, load_budget
from galenavane.fleet import group, registry, target

STANDBY_PREFIX = "standby-"
EPOCH_BITS = 20
"""Formations that one holder of the lease can number."""
REPEAT_SECONDS = 0.5
"""Wait for a command's effect in the list before it is given again: some round trips."""
MAX_GROUP_LOADS = 2
"""Members of a further group that may load; the others stay spares of the model they hold."""
UNREACHABLE_SECONDS = 4.5
"""The list drops a silent target after three heartbeats of 1.2 s; one still listed is back."""
SLOW_SECONDS = 8.0
"""How long a target found slow is left out, before its pace is trusted again."""
ADOPT_SECONDS = 1.5
"""How long a group that a former holder began to form may stay incomplete."""
ADOPT_LOAD_SECONDS = 20.0
"""The same when all members have joined and some still load, which takes up to 16 s."""
CLOSE_SECONDS = 3.0
"""How long a closing head may finish its streams; most last under 3 s."""
SETTLE_SECONDS = 0.6
"""A domain that comes up is listed within this; its first groups are planned over all of it."""
SLACK_SECONDS = 2.0
"""Added to the longest join of a formation before it is given up."""


@dataclasses.dataclass(slots=True, frozen=True)
class Forming:
    """A group that was ordered and does not serve yet."""

    key: group.Key
    model: engine.Model
    members: tuple[str, ...]
    give_up_at: float


@dataclasses.dataclass(slots=True)
class Steward:
    """What the holder of the lease has under way.

    :ivar token: the lease's number.
    :ivar doomed: groups whose members are told to leave, and since when.
    :ivar closing: groups whose heads are told to finish, and since when.
    :ivar unreachable: targets that did not answer, and until when they are left out.
    :ivar first_seen: when groups of a former holder were first seen incomplete.
    :ivar loading: targets that load weights, ``None`` until a new holder has looked.
    :ivar sizes: usable targets of each domain, and since when there are as many.
    :ivar is_loaded: whether loads are counted, which begins with the first request.
    """

    token: int
    formed: int = 0
    forming: dict[group.Key, Forming] = dataclasses.field(default_factory=dict)
    doomed: dict[group.Key, float] = dataclasses.field(default_factory=dict)
    closing: dict[group.Key, float] = dataclasses.field(default_factory=dict)
    unreachable: dict[str, float] = dataclasses.field(default_factory=dict)
    slow: dict[str, float] = dataclasses.field(default_factory=dict)
    sent: dict[tuple[str, str, int], float] = dataclasses.field(default_factory=dict)
    first_seen: dict[group.Key, float] = dataclasses.field(default_factory=dict)
    loads: load_budget.LoadBudget = dataclasses.field(default_factory=load_budget.LoadBudget)
    is_loaded: bool = False
    loading: set[str] | None = None
    sizes: dict[str, tuple[int, float]] = dataclasses.field(default_factory=dict)


def report_stall(state: Steward, key: group.Key, missing: abc.Iterable[str], now: float) -> None:
    """Take in that a group stands still, and which of its members did not answer."""
    for one in missing:
        state.unreachable[one] = now + UNREACHABLE_SECONDS
    state.doomed.setdefault(key, now)
    state.forming.pop(key, None)


def report_missing(state: Steward, target_id: str, now: float) -> None:
    """Take in that no connection to a target could be opened."""
    state.unreachable[target_id] = now + UNREACHABLE_SECONDS


def report_slow(state: Steward, key: group.Key, members: abc.Iterable[str], now: float) -> None:
    """Take in that members slow their group down."""
    for one in members:
        state.slow[one] = now + SLOW_SECONDS
    state.closing.setdefault(key, now)


def decide(
    state: Steward, known: registry.Registry, service: str, constants: engine.Engine, now: float
) -> list[group_command.Command]:
    """Return the commands to give now for one service."""
    _forget(state, now)
    _follow_loads(state, known)
    found = group.assemble(registry.members(known), constants, service)
    commands: list[group_command.Command] = []
    for key in sorted(found):
        commands += _tend(state, found[key], now)
    commands = [one for one in commands if one.target.id in known.targets]
    commands += _follow_forming(state, known, found, constants, now)
    commands += _form(state, known, found, service, constants, now)
    _drop_finished(state, found)
    return commands


def _forget(state: Steward, now: float) -> None:
    state.unreachable = {one: at for one, at in state.unreachable.items() if at > now}
    state.slow = {one: at for one, at in state.slow.items() if at > now}
    state.sent = {what: at for what, at in state.sent.items() if now < at + REPEAT_SECONDS}


def _follow_loads(state: Steward, known: registry.Registry) -> None:
    """Keep which targets load; those of a former holder are seen joining."""
    joining = {
        one.id
        for one in known.targets.values()
        if one.membership is not None and one.membership.state is target.GroupState.JOINING
    }
    waiting = {one for what, one, _ in state.sent if what in ("join", "standby")}
    if state.loading is None:
        state.loading = joining
    state.loading &= joining | waiting


def _drop_finished(state: Steward, found: abc.Mapping[group.Key, group.Group]) -> None:
    for kept in (state.doomed, state.closing, state.first_seen):
        for key in [one for one in kept if one not in found]:
            del kept[key]


def _once(state: Steward, what: str, one: target.Target, epoch: int, now: float) -> bool:
    """Whether a command may be sent now, rather than while its effect may still come."""
    if one.id in state.unreachable or (what, one.id, epoch) in state.sent:
        return False
    state.sent[(what, one.id, epoch)] = now
    return True


def _is_standby(key: group.Key) -> bool:
    return key.name.startswith(STANDBY_PREFIX)


def _tend(state: Steward, found: group.Group, now: float) -> list[group_command.Command]:
    """Look after one group that its members report."""
    key = found.key
    if key in state.doomed:
        return _dissolve(state, found, now)
    if _is_standby(key) or key in state.forming:
        return []
    if found.state is target.GroupState.OPEN and found.is_whole:
        return _tend_serving(state, found, now)
    if found.state is target.GroupState.CLOSING or key in state.closing:
        return _tend_closing(state, found, now)
    if found.is_ready and found.head is not None:
        if _once(state, "open", found.head, key.epoch, now):
            return [group_command.Open(found.head, key)]
        return []
    return _tend_incomplete(state, found, now)


def _tend_serving(state: Steward, found: group.Group, now: float) -> list[group_command.Command]:
    head = found.head
    if head is None:
        return []
    if not found.has_leaving and found.key not in state.closing:
        return []
    state.closing.setdefault(found.key, now)
    if now >= state.closing[found.key] + CLOSE_SECONDS:
        state.doomed[found.key] = now
        return _dissolve(state, found, now)
    if _once(state, "close", head, found.key.epoch, now):
        return [group_command.Close(head, found.key)]
    return []


def _tend_closing(state: Steward, found: group.Group, now: float) -> list[group_command.Command]:
    since = state.closing.setdefault(found.key, now)
    is_closed = found.state not in (target.GroupState.CLOSING, target.GroupState.OPEN)
    if is_closed or not found.is_whole or now >= since + CLOSE_SECONDS:
        state.doomed[found.key] = now
        return _dissolve(state, found, now)
    return []


def _tend_incomplete(state: Steward, found: group.Group, now: float) -> list[group_command.Command]:
    """Dissolve a group that lost a member, or that a former holder did not complete."""
    is_begun = found.state in (target.GroupState.JOINING, target.GroupState.READY, None)
    since = state.first_seen.setdefault(found.key, now)
    limit = ADOPT_LOAD_SECONDS if found.has_all_ranks else ADOPT_SECONDS
    if is_begun and now < since + limit:
        return []
    state.doomed[found.key] = now
    return _dissolve(state, found, now)


def _dissolve(state: Steward, found: group.Group, now: float) -> list[group_command.Command]:
    return [
        group_command.Leave(one, found.key)
        for one in found.members
        if _once(state, "leave", one, found.key.epoch, now)
    ]


def _follow_forming(
    state: Steward,
    known: registry.Registry,
    found: abc.Mapping[group.Key, group.Group],
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    commands: list[group_command.Command] = []
    for key, one in list(state.forming.items()):
        seen = found.get(key)
        if seen is not None and seen.state is target.GroupState.OPEN:
            del state.forming[key]
        elif _is_failed(state, known, one, now):
            del state.forming[key]
            state.doomed[key] = now
        else:
            commands += _push(state, known, one, seen, constants, now)
    return commands


def _is_failed(state: Steward, known: registry.Registry, one: Forming, now: float) -> bool:
    if now >= one.give_up_at:
        return True
    for member in one.members:
        seen = known.targets.get(member)
        if seen is None or seen.is_leaving or member in state.unreachable:
            return True
    return False


def _push(
    state: Steward,
    known: registry.Registry,
    one: Forming,
    seen: group.Group | None,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Repeat joins without effect, and open a group that is ready."""
    if seen is not None and seen.is_ready and seen.head is not None:
        if _once(state, "open", seen.head, one.key.epoch, now):
            return [group_command.Open(seen.head, one.key)]
        return []
    commands: list[group_command.Command] = []
    for member in one.members:
        listed = known.targets[member]
        what = ("join", member, one.key.epoch)
        if _has_joined(listed, one.key) or what in state.sent or member in state.unreachable:
            continue
        wait = formation.join_seconds(_make_free(known, listed), one.model)
        is_load = wait >= one.model.load_seconds
        if is_load and not _may_load(state, member, constants, now):
            continue
        state.sent[what] = now
        join = group_command.Join(listed, one.key, one.model.name, one.members, is_load)
        commands.append(join)
    return commands


def _has_joined(one: target.Target, key: group.Key) -> bool:
    held = one.membership
    return held is not None and (held.group, held.epoch) == (key.name, key.epoch)


def _form(
    state: Steward,
    known: registry.Registry,
    found: abc.Mapping[group.Key, group.Group],
    service: str,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    usable = _find_usable(state, known, service)
    counts = _count_groups(state, known, found)
    fleet: dict[str, int] = {}
    for groups in counts.values():
        for model, number in groups.items():
            fleet[model] = fleet.get(model, 0) + number
    commands: list[group_command.Command] = []
    for name in sorted(usable, key=lambda one: (sum(counts.get(one, {}).values()), one)):
        if not _is_settled(state, name, len(usable[name]), counts.get(name, {}), now):
            continue
        free = [_make_free(known, one) for one in usable[name] if _is_free(state, one)]
        domain = formation.Domain(len(usable[name]), counts.get(name, {}), free)
        used: set[str] = set()
        max_loads = MAX_GROUP_LOADS if state.is_loaded else len(usable[name])
        for plan in formation.plan(domain, constants.models, fleet, max_loads):
            commands += _begin(state, known, plan, constants, now)
            used.update(one.id for one in plan.members)
            fleet[plan.model.name] = fleet.get(plan.model.name, 0) + 1
        left = [one for one in free if one.target.id not in used]
        _make_room(state, name, found, domain, len(left), constants, now)
        commands += _keep_standbys(state, usable[name], left, constants, now)
    return commands


def _is_settled(
    state: Steward, domain: str, size: int, groups: abc.Mapping[str, int], now: float
) -> bool:
    """Whether a domain without groups is listed as far as it will soon be."""
    known, since = state.sizes.get(domain, (0, now))
    if size != known:
        since = now
    state.sizes[domain] = (size, since)
    return bool(groups) or now >= since + SETTLE_SECONDS


def _make_room(
    state: Steward,
    name: str,
    found: abc.Mapping[group.Key, group.Group],
    domain: formation.Domain,
    free: int,
    constants: engine.Engine,
    now: float,
) -> None:
    """Let one of several groups of a model end, for a model that its domain lacks."""
    is_busy = any(key in state.closing or key in state.doomed for key in found)
    if is_busy or state.forming:
        return
    for lacking in constants.models:
        if domain.groups.get(lacking.name):
            continue
        for other in constants.models:
            surplus = domain.groups.get(other.name, 0) - 1
            if surplus < 1 or free + surplus * other.size < lacking.size:
                continue
            for key, one in found.items():
                if one.domain == name and one.model == other.name and one.is_serving:
                    state.closing[key] = now
                    return


def _find_usable(
    state: Steward, known: registry.Registry, service: str
) -> dict[str, list[target.Target]]:
    """Return the targets that may be in groups, by domain."""
    found: dict[str, list[target.Target]] = {}
    for one in known.targets.values():
        is_out = one.is_leaving or one.id in state.unreachable or one.id in state.slow
        if one.service == service and not is_out and one.id not in known.held:
            found.setdefault(one.domain, []).append(one)
    return found


def _count_groups(
    state: Steward, known: registry.Registry, found: abc.Mapping[group.Key, group.Group]
) -> dict[str, dict[str, int]]:
    """Return the groups of each model that serve or will, by domain."""
    counts: dict[str, dict[str, int]] = {}

    def count(domain: str, model: str) -> None:
        here = counts.setdefault(domain, {})
        here[model] = here.get(model, 0) + 1

    for key, one in found.items():
        is_ending = key in state.doomed or key in state.closing or key in state.forming
        if not _is_standby(key) and not is_ending and one.model:
            count(one.domain, one.model)
    for forming in state.forming.values():
        listed = known.targets.get(forming.members[0])
        if listed is not None:
            count(listed.domain, forming.model.name)
    return counts


def _is_free(state: Steward, one: target.Target) -> bool:
    """Whether a target belongs to no group, so that it may be told to join one."""
    if any(one.id in forming.members for forming in state.forming.values()):
        return False
    held = one.membership
    return held is None or held.group.startswith(STANDBY_PREFIX)


def _make_free(known: registry.Registry, one: target.Target) -> formation.Free:
    last = known.last_models.get((one.id, one.incarnation), "")
    return formation.Free(one, last)


def _begin(
    state: Steward,
    known: registry.Registry,
    plan: formation.Plan,
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Order a group; members whose weights have to be loaded may have to wait their turn."""
    waits = [formation.join_seconds(_make_free(known, one), plan.model) for one in plan.members]
    loads = sum(wait >= plan.model.load_seconds for wait in waits)
    turn = loads * plan.model.load_seconds
    key = _next_key(state, "group")
    ids = tuple(one.id for one in plan.members)
    made = Forming(key, plan.model, ids, now + 2 * max(waits) + turn + SLACK_SECONDS)
    state.forming[key] = made
    return _push(state, known, made, None, constants, now)


def _may_load(state: Steward, target_id: str, constants: engine.Engine, now: float) -> bool:
    """Whether one more load may begin now."""
    if not state.is_loaded:
        return True
    loading = state.loading if state.loading is not None else set()
    if target_id not in loading and len(loading) >= constants.loads_at_once:
        return False
    if not state.loads.spend(constants.loads_per_second, now):
        return False
    loading.add(target_id)
    return True


def _next_key(state: Steward, kind: str) -> group.Key:
    state.formed += 1
    epoch = (state.token << EPOCH_BITS) + state.formed
    return group.Key(f"{kind}-{epoch:x}", epoch)


def _keep_standbys(
    state: Steward,
    domain: abc.Sequence[target.Target],
    free: abc.Sequence[formation.Free],
    constants: engine.Engine,
    now: float,
) -> list[group_command.Command]:
    """Let spares hold weights: a group of its own, never opened, makes the next join short."""
    members, standbys = _count_members(state, domain)
    commands: list[group_command.Command] = []
    for one in free:
        if one.target.membership is not None or ("standby", one.target.id, 0) in state.sent:
            continue
        model = formation.choose_standby(one, constants.models, members, standbys)
        wait = formation.join_seconds(one, model)
        is_load = wait >= model.load_seconds
        if is_load and not _may_load(state, one.target.id, constants, now):
            continue
        key = _next_key(state, STANDBY_PREFIX.rstrip("-"))
        state.sent[("standby", one.target.id, 0)] = now
        standbys[model.name] = standbys.get(model.name, 0) + 1
        ids = (one.target.id,)
        commands.append(group_command.Join(one.target, key, model.name, ids, is_load))
    return commands


def _count_members(
    state: Steward, domain: abc.Sequence[target.Target]
) -> tuple[dict[str, int], dict[str, int]]:
    forming = {one: made.model.name for made in state.forming.values() for one in made.members}
    members: dict[str, int] = {}
    standbys: dict[str, int] = {}
    for one in domain:
        if one.id in forming:
            members[forming[one.id]] = members.get(forming[one.id], 0) + 1
            continue
        if one.membership is None or not one.model:
            continue
        is_spare = one.membership.group.startswith(STANDBY_PREFIX)
        counts = standbys if is_spare else members
        counts[one.model] = counts.get(one.model, 0) + 1
    return members, standbys
