"""State that each entry shares with its peers: load, demand and slow or leaving instances."""

from __future__ import annotations

import msgspec


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one client account at one entry.

    :ivar requests: requests per second, both admitted and refused.
    :ivar tokens: tokens per second.
    """

    requests: float
    tokens: float


class SharedState(msgspec.Struct, frozen=True, array_like=True):
    """State that one entry shares with its peers.

    :ivar sends: requests in flight by ``service/version``.
    :ivar demand: demand by account name.
    :ivar suspects: slowness factor of suspected instances by instance name.
    :ivar leaving: names of instances that have announced that they are leaving.
    :ivar reserved: fraction of each group's places reserved for the first priority class, by
        service name.
    :ivar draining_sends: requests in flight by group name, of groups that get no new ones.
    """

    sends: dict[str, int] = {}
    demand: dict[str, Demand] = {}
    suspects: dict[str, float] = {}
    leaving: list[str] = []
    reserved: dict[str, float] = {}
    draining_sends: dict[str, int] = {}


class PeerState(msgspec.Struct, frozen=True):
    """Shared state as last received from one peer.

    :ivar heard_at: monotonic time of arrival, in seconds.
    """

    name: str
    data_centre: str
    heard_at: float
    state: SharedState
