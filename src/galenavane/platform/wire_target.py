"""What targets say of themselves and are told, on the platform's wire."""

from __future__ import annotations

import msgspec

from galenavane.control import group_command
from galenavane.fleet import target
from galenavane.net import address


class _Group(msgspec.Struct):
    name: str
    epoch: int
    rank: int
    state: str


class _Model(msgspec.Struct):
    name: str


class ListedTarget(msgspec.Struct):
    """A target's entry in the platform's list.

    Its ``sequence`` counts heartbeats, unlike the field of that name in a report, which counts
    commands; neither is used.
    """

    # Name of the service that the target belongs to.
    backend: str
    address: str
    zone: str
    # "ready" also while a target can't serve; "draining" before it leaves.
    state: str
    slots: int = 1
    # Fabric domain, unlike a name on the network.
    domain: str = ""
    # Models whose weights the host keeps, whether or not they are in use.
    staged: list[str] = []
    # Model of the last group; stays after the target has left it.
    models: list[_Model] = []
    group: _Group | None = None
    # Unix milliseconds of the target's start.
    born: int = 0


class TargetReport(msgspec.Struct):
    """A target's own report, some hundred milliseconds old.

    ``pace`` over 1 says that the target is slow.
    """

    domain: str = ""
    staged: list[str] = []
    models: list[_Model] = []
    group: _Group | None = None
    born: int = 0
    pace: float = 1.0


_STATES = {one.value: one for one in target.GroupState}


def decode_target(target_id: str, spec: msgspec.Raw) -> target.Target | None:
    """Return the target of an entry, or ``None`` for one that names no usable target."""
    try:
        found = msgspec.json.decode(spec, type=ListedTarget)
        where = address.parse(found.address)
        if found.state not in ("ready", "draining") or not found.backend:
            return None
        membership = _decode_group(found.group)
    except (msgspec.DecodeError, ValueError, KeyError):
        return None
    return target.Target(
        id=target_id,
        service=found.backend,
        address=where,
        data_centre=found.zone,
        slots=found.slots,
        is_leaving=found.state == "draining",
        domain=found.domain,
        staged=tuple(found.staged),
        model=found.models[0].name if found.models and membership is not None else "",
        membership=membership,
        incarnation=found.born,
    )


def decode_report(known: target.Target, body: bytes) -> tuple[target.Target, float] | None:
    """Return a target as its own report describes it, and its pace."""
    try:
        found = msgspec.json.decode(body, type=TargetReport)
        membership = _decode_group(found.group)
    except (msgspec.DecodeError, ValueError, KeyError):
        return None
    model = found.models[0].name if found.models and membership is not None else ""
    seen = msgspec.structs.replace(
        known,
        staged=tuple(found.staged),
        model=model,
        membership=membership,
        incarnation=found.born,
    )
    return seen, found.pace


def _decode_group(found: _Group | None) -> target.Membership | None:
    if found is None:
        return None
    return target.Membership(found.name, found.epoch, found.rank, _STATES[found.state])


class _Order(msgspec.Struct, omit_defaults=True):
    # Staging concerns no group; what keeps its default is not sent.
    operation: str
    group: str = ""
    epoch: int = 0
    model: str | None = None
    members: tuple[str, ...] | None = None
    mode: str | None = None


def encode_command(command: group_command.Command) -> bytes:
    """Return the body of an order."""
    match command:
        case group_command.Stage(model=model):
            order = _Order("stage", model=model)
        case group_command.Join(key=key, model=model, members=members):
            order = _Order("join", key.name, key.epoch, model=model, members=members)
        case group_command.Open(key=key):
            order = _Order("open", key.name, key.epoch)
        case group_command.Close(key=key):
            order = _Order("close", key.name, key.epoch, mode="pending")
        case group_command.Leave(key=key):
            order = _Order("leave", key.name, key.epoch)
    return msgspec.json.encode(order)
