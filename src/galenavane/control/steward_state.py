"""What the holder of the lease has under way, and what its decisions read of it."""

from __future__ import annotations

import dataclasses

from galenavane.catalog import engine
from galenavane.control import demand, formation, load_budget, staging
from galenavane.fleet import group, registry, target

STANDBY_PREFIX = "standby-"
EPOCH_BITS = 20
"""Formations that one holder of the lease can number."""
REPEAT_SECONDS = 0.5
"""Wait for a command's effect in the list before it is given again: some round trips."""


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
    :ivar is_first: whether no target was in a group when this holder began to look.
    :ivar sizes: usable targets of each domain, and since when there are as many.
    :ivar is_loaded: whether loads are counted, which begins with the first request.
    """

    token: int
    formed: int = 0
    forming: dict[group.Key, Forming] = dataclasses.field(default_factory=dict)
    doomed: dict[group.Key, float] = dataclasses.field(default_factory=dict)
    closing: dict[group.Key, float] = dataclasses.field(default_factory=dict)
    unreachable: dict[str, float] = dataclasses.field(default_factory=dict)
    sent: dict[tuple[str, str, int], float] = dataclasses.field(default_factory=dict)
    first_seen: dict[group.Key, float] = dataclasses.field(default_factory=dict)
    loads: load_budget.LoadBudget = dataclasses.field(default_factory=load_budget.LoadBudget)
    is_loaded: bool = False
    is_first: bool = False
    loading: set[str] | None = None
    demand: demand.Demand = dataclasses.field(default_factory=demand.Demand)
    staging: staging.Staging = dataclasses.field(default_factory=staging.Staging)
    sizes: dict[str, tuple[int, float]] = dataclasses.field(default_factory=dict)


def once(state: Steward, what: str, one: target.Target, epoch: int, now: float) -> bool:
    """Whether a command may be sent now, rather than while its effect may still come."""
    if one.id in state.unreachable or (what, one.id, epoch) in state.sent:
        return False
    state.sent[(what, one.id, epoch)] = now
    return True


def next_key(state: Steward, kind: str) -> group.Key:
    """Return the key of a new formation."""
    state.formed += 1
    epoch = (state.token << EPOCH_BITS) + state.formed
    return group.Key(f"{kind}-{epoch:x}", epoch)


def is_standby(key: group.Key) -> bool:
    """Whether a group is that of a spare, which never opens."""
    return key.name.startswith(STANDBY_PREFIX)


def may_load(state: Steward, target_id: str, constants: engine.Engine, now: float) -> bool:
    """Whether one more load may begin now."""
    if not state.is_loaded:
        return True
    loading = state.loading if state.loading is not None else set()
    under_way = len(loading) + len(state.staging.due)
    if target_id not in loading and under_way >= constants.loads_at_once:
        return False
    if not state.loads.spend(constants.loads_per_second, now):
        return False
    loading.add(target_id)
    return True


def make_free(known: registry.Registry, one: target.Target) -> formation.Free:
    """Return a target with the model that it can join soonest."""
    last = known.last_models.get((one.id, one.incarnation), "")
    return formation.Free(one, last)


def is_free(state: Steward, one: target.Target) -> bool:
    """Whether a target belongs to no group, so that it may be told to join one."""
    if any(one.id in forming.members for forming in state.forming.values()):
        return False
    held = one.membership
    return held is None or held.group.startswith(STANDBY_PREFIX)


def is_coming(state: Steward, one: target.Target) -> bool:
    """Whether a target is a member of a group that is ending."""
    held = one.membership
    if held is None or held.group.startswith(STANDBY_PREFIX):
        return False
    key = group.Key(held.group, held.epoch)
    return key in state.doomed or key in state.closing


def find_usable(
    state: Steward, known: registry.Registry, service: str
) -> dict[str, list[target.Target]]:
    """Return the targets that may be in groups, by domain."""
    found: dict[str, list[target.Target]] = {}
    for one in known.targets.values():
        is_out = one.is_leaving or one.id in state.unreachable
        if one.service == service and not is_out and one.id not in known.held:
            found.setdefault(one.domain, []).append(one)
    return found
