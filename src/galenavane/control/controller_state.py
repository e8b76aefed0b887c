"""State of the lease holder's controller, and queries on it."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane.catalog import engine
from galenavane.control import (
    demand,
    formation,
    group_command,
    join_history,
    load_budget,
    staging,
)
from galenavane.fleet import replica_group, target, target_registry

STANDBY_PREFIX = "standby-"
EPOCH_BITS = 20
"""Low bits of an epoch, which number the formations of one lease holder."""
MIN_KEPT_HISTORIES = 64
"""Histories of joins are pruned once there are this many more than listed targets."""
REPEAT_SECONDS = 0.5
"""Wait for a command's effect in the list before it is sent again: a few round trips."""


@dataclasses.dataclass(slots=True, frozen=True)
class FormingGroup:
    """A group whose members were told to join and that does not serve yet.

    :ivar deadline: monotonic time in seconds after which the group is given up.
    """

    key: replica_group.Key
    model: engine.Model
    member_ids: tuple[str, ...]
    deadline: float


@dataclasses.dataclass(slots=True)
class Numbering:
    """Numbers the formations of a holder, those of all its services together.

    :ivar count: formations that have been numbered.
    """

    count: int = 0


@dataclasses.dataclass(slots=True)
class ControllerState:
    """What the lease holder is doing; times are monotonic seconds.

    :ivar token: number of the lease.
    :ivar numbering: shared by the services, so that no two groups of a holder have the same key.
    :ivar forming: groups that are being formed.
    :ivar dissolving: groups whose members are commanded to leave, with the time of the decision.
    :ivar closing: groups whose heads are commanded to finish their streams, with the time of
        the decision.
    :ivar served_sizes: number of members with which each open group was complete, also if the
        configuration has changed its model since then.
    :ivar unreachable_until: targets that did not answer, and until when they are not used.
    :ivar sent_at: recently sent commands by kind, target id and epoch.
    :ivar incomplete_since: when groups of a former holder were first seen incomplete.
    :ivar joins: joins that were sent, by id and incarnation of the target.
    :ivar load_budget: limits the rate of loads from the weight store.
    :ivar loading: targets that load weights; ``None`` until a new holder has seen the list.
    :ivar is_cold_start: whether no target was in a group when this holder first saw the list.
    :ivar domain_sizes: number of usable targets of each domain, and since when it is the same.
    :ivar has_traffic: whether a request has arrived; loads are limited from the first one on.
    """

    token: int
    numbering: Numbering = dataclasses.field(default_factory=Numbering)
    forming: dict[replica_group.Key, FormingGroup] = dataclasses.field(default_factory=dict)
    dissolving: dict[replica_group.Key, float] = dataclasses.field(default_factory=dict)
    closing: dict[replica_group.Key, float] = dataclasses.field(default_factory=dict)
    served_sizes: dict[replica_group.Key, int] = dataclasses.field(default_factory=dict)
    unreachable_until: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_at: dict[tuple[str, str, int], float] = dataclasses.field(default_factory=dict)
    incomplete_since: dict[replica_group.Key, float] = dataclasses.field(default_factory=dict)
    joins: dict[tuple[str, int], join_history.JoinHistory] = dataclasses.field(default_factory=dict)
    load_budget: load_budget.LoadBudget = dataclasses.field(default_factory=load_budget.LoadBudget)
    has_traffic: bool = False
    is_cold_start: bool = False
    loading: set[str] | None = None
    demand: demand.Demand = dataclasses.field(default_factory=demand.Demand)
    staging: staging.Staging = dataclasses.field(default_factory=staging.Staging)
    domain_sizes: dict[str, tuple[int, float]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Control:
    """What the lease holder is doing for all services; they share the lease and the numbering.

    :ivar token: number of the lease.
    :ivar numbering: of the formations of all services.
    :ivar services: state by service name.
    """

    token: int
    numbering: Numbering = dataclasses.field(default_factory=Numbering)
    services: dict[str, ControllerState] = dataclasses.field(default_factory=dict)


def find_service(control: Control, service: str) -> ControllerState:
    """Return the state of a service, which is empty the first time."""
    state = control.services.get(service)
    if state is None:
        state = control.services[service] = ControllerState(control.token, control.numbering)
    return state


def try_claim_command(
    state: ControllerState, kind: str, recipient: target.Target, epoch: int, now: float
) -> bool:
    """Record a command as sent; return whether it may be sent now.

    It may not while the target is unreachable, nor while a copy sent lately may still take effect.
    """
    if recipient.id in state.unreachable_until or (kind, recipient.id, epoch) in state.sent_at:
        return False
    state.sent_at[(kind, recipient.id, epoch)] = now
    return True


def allocate_key(state: ControllerState, kind: str) -> replica_group.Key:
    """Return the key of a new formation.

    :param kind: prefix of the group's name.
    """
    state.numbering.count += 1
    epoch = (state.token << EPOCH_BITS) + state.numbering.count
    return replica_group.Key(f"{kind}-{epoch:x}", epoch)


def make_join(
    state: ControllerState,
    recipient: target.Target,
    key: replica_group.Key,
    model: engine.Model,
    member_ids: tuple[str, ...],
    needs_load: bool,
) -> group_command.Join:
    """Return a join, and record it as sent; ``record_join_end`` has to follow once it has ended.

    :param recipient: listed in no group that may serve.
    """
    history = find_join_history(state, recipient)
    standby_epoch = recipient.membership.epoch if recipient.membership is not None else None
    is_conditional = not join_history.is_known_free(
        history, state.token << EPOCH_BITS, standby_epoch
    )
    join_history.record_sent(history, key.epoch, is_conditional)
    return group_command.Join(recipient, key, model.name, member_ids, needs_load, is_conditional)


def find_join_history(state: ControllerState, listed: target.Target) -> join_history.JoinHistory:
    """Return the history of a target's process, which is empty the first time."""
    return state.joins.setdefault((listed.id, listed.incarnation), join_history.JoinHistory())


def may_send_join(state: ControllerState, join: group_command.Join) -> bool:
    """Whether a join is still of use, now that its first byte is about to be sent."""
    is_wanted = is_standby(join.key) or join.key in state.forming
    return is_wanted and join_history.may_send(
        find_join_history(state, join.target), join.key.epoch
    )


def record_join_end(state: ControllerState, join: group_command.Join, is_accepted: bool) -> None:
    """Record that a join was answered or not sent; one without an answer stays outstanding."""
    history = find_join_history(state, join.target)
    join_history.record_end(history, join.key.epoch, join.is_conditional)
    if is_accepted:
        join_history.record_accepted(history, join.key.epoch)


def note_leave(state: ControllerState, leave: group_command.Leave) -> int | None:
    """Return what ``record_left`` needs of the time before a leave is sent."""
    return join_history.note_leave(find_join_history(state, leave.target))


def record_left(
    state: ControllerState, leave: group_command.Leave, sent_before: int | None
) -> None:
    """Record that a target answered that it has left a group.

    :param sent_before: as returned by ``note_leave`` before the leave was sent.
    """
    history = find_join_history(state, leave.target)
    join_history.record_left(history, leave.key.epoch, sent_before)


def record_listed_join(state: ControllerState, listed: target.Target) -> None:
    """Record the epoch that a target is listed with."""
    if listed.membership is not None:
        history = find_join_history(state, listed)
        join_history.record_accepted(history, listed.membership.epoch)


def prune_join_histories(state: ControllerState, registry: target_registry.Registry) -> None:
    """Forget processes that are no longer listed, unless a join of them is outstanding."""
    if len(state.joins) <= len(registry.targets) + MIN_KEPT_HISTORIES:
        return
    listed = {(known.id, known.incarnation) for known in registry.targets.values()}
    state.joins = {
        process: history
        for process, history in state.joins.items()
        if process in listed or join_history.count_outstanding(history) > 0
    }


def is_standby(key: replica_group.Key) -> bool:
    """Whether a group is the one-member group of a standby, which never opens."""
    return key.name.startswith(STANDBY_PREFIX)


def may_load(state: ControllerState, target_id: str, constants: engine.Engine, now: float) -> bool:
    """Whether a target may begin to load weights now; takes the load from the budget if so."""
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
    """Return a target as a candidate for a group, with the model of its last group."""
    last_model = registry.last_models.get((listed.id, listed.incarnation), "")
    return formation.Candidate(listed, last_model)


def find_forming_ids(state: ControllerState) -> frozenset[str]:
    """Return the ids of the targets that were told to join groups being formed."""
    return frozenset(
        member_id for forming in state.forming.values() for member_id in forming.member_ids
    )


def is_free(forming_ids: abc.Set[str], listed: target.Target) -> bool:
    """Whether a target may be told to join a group: it is in none, or in a standby's own.

    :param forming_ids: targets that were told to join groups being formed.
    """
    return listed.id not in forming_ids and is_unattached(listed)


def is_unattached(listed: target.Target) -> bool:
    """Whether a target is in no group that may serve: in none, or in a standby's own."""
    membership = listed.membership
    return membership is None or membership.group.startswith(STANDBY_PREFIX)


def is_in_ending_group(state: ControllerState, listed: target.Target) -> bool:
    """Whether a target is a member of a group that is closing or being dissolved."""
    membership = listed.membership
    if membership is None or membership.group.startswith(STANDBY_PREFIX):
        return False
    key = replica_group.Key(membership.group, membership.epoch)
    return key in state.dissolving or key in state.closing


def find_usable(
    state: ControllerState, registry: target_registry.Registry, service: str
) -> dict[str, list[target.Target]]:
    """Return the targets that may be members of groups, by fabric domain."""
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
