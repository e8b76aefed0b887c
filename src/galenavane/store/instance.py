"""An instance in the platform's list."""

from __future__ import annotations

import enum

import msgspec


class State(enum.StrEnum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Kind(enum.StrEnum):
    """What runs on an instance."""

    ENGINE = "engine"
    PLAIN = "plain"
    ENTRY = "entry"


class Instance(msgspec.Struct, frozen=True):
    """One instance of the lagging list.

    :ivar address: ``IP:port`` of what runs there.
    :ivar service: for a plain target the service that it belongs to, else empty.
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
    """The lagging list of live and leaving instances, or those of one data centre.

    :ivar instances: ``None`` when nothing has changed since the version that was asked after.
    :ivar version: grows with every change of what was asked for.
    :ivar total: instances of all data centres.
    """

    instances: list[Instance] | None
    version: int = 0
    total: int = 0
