"""Assembles replica groups from the memberships that targets report."""

from __future__ import annotations

from collections import abc

import msgspec

from galenavane.catalog import engine
from galenavane.fleet import target


class Key(msgspec.Struct, frozen=True, order=True):
    """Identifies one formation of a group; no epoch is used twice."""

    name: str
    epoch: int


class Group(msgspec.Struct, frozen=True):
    """The listed members of a group.

    :ivar domain: fabric domain of the first listed member.
    :ivar members: listed members by rank.
    :ivar is_complete: whether as many members are listed as the model needs, one of each rank.
    :ivar has_all_ranks: whether the listed members would be a complete group of some model; the
        model itself may not be known yet.
    """

    key: Key
    service: str
    model: str
    domain: str
    members: tuple[target.Target, ...]
    is_complete: bool
    has_all_ranks: bool

    @property
    def head(self) -> target.Target | None:
        """The member that serves requests; ``None`` when it is no longer listed."""
        first = self.members[0]
        return first if first.membership is not None and first.membership.rank == 0 else None

    @property
    def state(self) -> target.GroupState | None:
        """The state of the head; ``None`` without one."""
        head = self.head
        return head.membership.state if head is not None and head.membership is not None else None

    @property
    def is_serving(self) -> bool:
        """Whether requests may be sent to the head."""
        head = self.head
        return (
            self.is_complete
            and head is not None
            and not head.is_leaving
            and self.state is target.GroupState.OPEN
        )

    @property
    def is_ready(self) -> bool:
        """Whether all members are ready, so that the head may be opened."""
        return self.is_complete and all(
            member.membership is not None and member.membership.state is target.GroupState.READY
            for member in self.members
        )

    @property
    def has_leaving_member(self) -> bool:
        """Whether a member is about to stop."""
        return any(member.is_leaving for member in self.members)


def assemble(
    targets: abc.Iterable[target.Target], constants: engine.Engine, service: str
) -> dict[Key, Group]:
    """Return the groups that a service's listed targets belong to."""
    members_by_key: dict[Key, list[target.Target]] = {}
    for listed in targets:
        if listed.service == service and listed.membership is not None:
            key = Key(listed.membership.group, listed.membership.epoch)
            members_by_key.setdefault(key, []).append(listed)
    return {key: make(key, members, constants) for key, members in members_by_key.items()}


def make(key: Key, listed_members: abc.Iterable[target.Target], constants: engine.Engine) -> Group:
    """Return the group that at least one listed member reports."""
    members = sorted(listed_members, key=_get_rank)
    model_name = next((member.model for member in members if member.model), "")
    model = constants.find_model(model_name)
    ranks = [_get_rank(member) for member in members]
    is_complete = model is not None and ranks == list(range(model.size))
    sizes = {known_model.size for known_model in constants.models}
    has_all_ranks = len(ranks) in sizes and ranks == list(range(len(ranks)))
    first = members[0]
    return Group(
        key, first.service, model_name, first.domain, tuple(members), is_complete, has_all_ranks
    )


def _get_rank(member: target.Target) -> int:
    return member.membership.rank if member.membership is not None else -1
