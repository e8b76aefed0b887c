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


_STATES = {state.value: state for state in target.GroupState}


def decode_target(target_id: str, spec: msgspec.Raw) -> target.Target | None:
    """Return the target of an entry, or ``None`` for one that names no usable target."""
    try:
        listed = msgspec.json.decode(spec, type=ListedTarget)
        target_address = address.parse(listed.address)
        if listed.state not in ("ready", "draining") or not listed.backend:
            return None
        membership = _decode_group(listed.group)
    except (msgspec.DecodeError, ValueError, KeyError):
        return None
    return target.Target(
        id=target_id,
        service=listed.backend,
        address=target_address,
        data_centre=listed.zone,
        slots=listed.slots,
        is_leaving=listed.state == "draining",
        domain=listed.domain,
        staged=tuple(listed.staged),
        model=listed.models[0].name if listed.models and membership is not None else "",
        membership=membership,
        incarnation=listed.born,
    )


def decode_report(known: target.Target, body: bytes) -> tuple[target.Target, float] | None:
    """Return a target as its own report describes it, and its pace."""
    try:
        report = msgspec.json.decode(body, type=TargetReport)
        membership = _decode_group(report.group)
    except (msgspec.DecodeError, ValueError, KeyError):
        return None
    model = report.models[0].name if report.models and membership is not None else ""
    updated = msgspec.structs.replace(
        known,
        staged=tuple(report.staged),
        model=model,
        membership=membership,
        incarnation=report.born,
    )
    return updated, report.pace


def _decode_group(group: _Group | None) -> target.Membership | None:
    if group is None:
        return None
    return target.Membership(group.name, group.epoch, group.rank, _STATES[group.state])


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
