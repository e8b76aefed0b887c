"""An instance in the platform's list."""

from __future__ import annotations

import enum

import msgspec


class State(enum.StrEnum):
    """State of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Kind(enum.StrEnum):
    """Kind of process that runs on an instance."""

    ENGINE = "engine"
    PLAIN = "plain"
    ENTRY = "entry"


class Instance(msgspec.Struct, frozen=True):
    """One instance of the platform's list.

    :ivar address: ``IP:port`` of the process that runs there.
    :ivar fabric_domain: fabric domain of its accelerators, if any.
    :ivar service: service that a plain target belongs to, else empty.
    """

    name: str
    address: str
    data_centre: str
    kind: Kind
    fabric_domain: str = ""
    service: str = ""
    accelerators: int = 1
    state: State = State.LIVE


class InstanceList(msgspec.Struct, frozen=True):
    """List of live and leaving instances, of one data centre or all.

    The list lags behind the real state of the instances.

    :ivar instances: ``None`` if nothing has changed since the version given in the request.
    :ivar version: version of the requested part of the list; grows with every change of it.
    :ivar total: number of instances in all data centres.
    """

    instances: list[Instance] | None
    version: int = 0
    total: int = 0
