"""What the holder of the lease has under way, and what its decisions read of it."""

from __future__ import annotations

import dataclasses

from galenavane.catalog import engine
from galenavane.control import demand, formation, load_budget, staging
from galenavane.fleet import replica_group, target, target_registry

STANDBY_PREFIX = "standby-"
EPOCH_BITS = 20
"""Formations that one holder of the lease can number."""
REPEAT_SECONDS = 0.5
"""Wait for a command's effect in the list before it is given again: some round trips."""


@dataclasses.dataclass(slots=True, frozen=True)
class FormingGroup:
    """A group that was ordered and does not serve yet."""

    key: replica_group.Key
    model: engine.Model
    member_ids: tuple[str, ...]
    deadline: float


@dataclasses.dataclass(slots=True)
class ControllerState:
    """What the holder of the lease has under way.

    :ivar token: the lease's number.
    :ivar dissolving: groups whose members are told to leave, and since when.
    :ivar closing: groups whose heads are told to finish, and since when.
    :ivar unreachable_until: targets that did not answer, and until when they are left out.
    :ivar incomplete_since: when groups of a former holder were first seen incomplete.
    :ivar loading: targets that load weights, ``None`` until a new holder has looked.
    :ivar is_cold_start: whether no target was in a group when this holder began to look.
    :ivar domain_sizes: usable targets of each domain, and since when there are as many.
    :ivar has_traffic: whether loads are counted, which begins with the first request.
    """

    token: int
    formed_count: int = 0
    forming: dict[replica_group.Key, FormingGroup] = dataclasses.field(default_factory=dict)
    dissolving: dict[replica_group.Key, float] = dataclasses.field(default_factory=dict)
    closing: dict[replica_group.Key, float] = dataclasses.field(default_factory=dict)
    unreachable_until: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_at: dict[tuple[str, str, int], float] = dataclasses.field(default_factory=dict)
    incomplete_since: dict[replica_group.Key, float] = dataclasses.field(default_factory=dict)
    load_budget: load_budget.LoadBudget = dataclasses.field(default_factory=load_budget.LoadBudget)
    has_traffic: bool = False
    is_cold_start: bool = False
    loading: set[str] | None = None
    demand: demand.Demand = dataclasses.field(default_factory=demand.Demand)
    staging: staging.Staging = dataclasses.field(default_factory=staging.Staging)
    domain_sizes: dict[str, tuple[int, float]] = dataclasses.field(default_factory=dict)


def try_claim_command(
    state: ControllerState, kind: str, recipient: target.Target, epoch: int, now: float
) -> bool:
    """Whether a command may be sent now, rather than while its effect may still come."""
    if recipient.id in state.unreachable_until or (kind, recipient.id, epoch) in state.sent_at:
        return False
    state.sent_at[(kind, recipient.id, epoch)] = now
    return True


def allocate_key(state: ControllerState, kind: str) -> replica_group.Key:
    """Return the key of a new formation."""
    state.formed_count += 1
    epoch = (state.token << EPOCH_BITS) + state.formed_count
    return replica_group.Key(f"{kind}-{epoch:x}", epoch)


def is_standby(key: replica_group.Key) -> bool:
    """Whether a group is that of a spare, which never opens."""
    return key.name.startswith(STANDBY_PREFIX)


def may_load(state: ControllerState, target_id: str, constants: engine.Engine, now: float) -> bool:
    """Whether one more load may begin now."""
    if not state.has_traffic:
        return True
    loading = state.loading if state.loading is not None else set()
    under_way = len(loading) + len(state.staging.retry_at)
    if target_id not in loading and under_way >= constants.loads_at_once:
        return False
    if not state.load_budget.try_take(constants.loads_per_second, now):
        return False
    loading.add(target_id)
    return True


def make_candidate(
    registry: target_registry.Registry, listed: target.Target
) -> formation.Candidate:
    """Return a target with the model that it can join soonest."""
    last_model = registry.last_models.get((listed.id, listed.incarnation), "")
    return formation.Candidate(listed, last_model)


def is_free(state: ControllerState, listed: target.Target) -> bool:
    """Whether a target belongs to no group, so that it may be told to join one."""
    if any(listed.id in forming.member_ids for forming in state.forming.values()):
        return False
    membership = listed.membership
    return membership is None or membership.group.startswith(STANDBY_PREFIX)


def is_in_ending_group(state: ControllerState, listed: target.Target) -> bool:
    """Whether a target is a member of a group that is ending."""
    membership = listed.membership
    if membership is None or membership.group.startswith(STANDBY_PREFIX):
        return False
    key = replica_group.Key(membership.group, membership.epoch)
    return key in state.dissolving or key in state.closing


def find_usable(
    state: ControllerState, registry: target_registry.Registry, service: str
) -> dict[str, list[target.Target]]:
    """Return the targets that may be in groups, by domain."""
    usable: dict[str, list[target.Target]] = {}
    for listed in registry.targets.values():
        is_excluded = listed.is_leaving or listed.id in state.unreachable_until
        if (
            listed.service == service
            and not is_excluded
            and listed.id not in registry.presumed_alive_until
        ):
            usable.setdefault(listed.domain, []).append(listed)
    return usable
