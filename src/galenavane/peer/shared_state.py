"""What one entry tells its peers of its load and its suspicions."""

from __future__ import annotations

import msgspec


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """What an account asks for at one entry.

    :ivar requests: requests a second, admitted and refused.
    :ivar tokens: tokens a second.
    """

    requests: float
    tokens: float


class SharedState(msgspec.Struct, frozen=True, array_like=True):
    """Facts of one entry, replaced as a whole by its next ones.

    :ivar sends: requests in flight by ``service/version``.
    :ivar demand: demand by account name.
    :ivar suspects: slowness factor of suspected instances by instance name.
    :ivar leaving: instances that have said that they are leaving.
    :ivar reserved: share of places kept for the first class, by service name.
    """

    sends: dict[str, int] = {}
    demand: dict[str, Demand] = {}
    suspects: dict[str, float] = {}
    leaving: list[str] = []
    reserved: dict[str, float] = {}


class PeerState(msgspec.Struct, frozen=True):
    """The facts of one peer.

    :ivar heard_at: monotonic time of arrival.
    """

    name: str
    data_centre: str
    heard_at: float
    state: SharedState
