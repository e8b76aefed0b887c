"""Decodes descriptions of targets and encodes commands in the platform's wire format."""

from __future__ import annotations

import msgspec

from galenavane.control import group_command
from galenavane.fleet import target, target_report
from galenavane.net import address, headers, message, untrusted_json
from galenavane.platform import wire_request


class _Group(msgspec.Struct):
    name: str
    epoch: untrusted_json.Count
    rank: untrusted_json.Count
    state: str


class _Model(msgspec.Struct):
    name: str


class ListedTarget(msgspec.Struct):
    """A target in the platform's list.

    The platform's field ``sequence`` is not decoded. It counts heartbeats here, but accepted
    commands in a report.
    """

    # Name of the target's service.
    backend: str
    address: str
    zone: str
    # "ready" even while the target can't serve; "draining" before it leaves.
    state: str
    slots: untrusted_json.Count = 1
    # Fabric domain; not a network domain name.
    domain: str = ""
    # Models whose weights are on the host, in use or not.
    staged: list[str] = []
    # Model of the last group; kept after the target has left that group.
    models: list[_Model] = []
    group: _Group | None = None
    # Unix time in milliseconds at which the target started.
    born: untrusted_json.Count = 0


class TargetReport(msgspec.Struct):
    """A report by the target itself, a few hundred milliseconds old.

    A ``pace`` above 1 means that the target is slow.
    """

    # Number of commands that its process has accepted.
    sequence: untrusted_json.Count | None = None

    domain: str = ""
    staged: list[str] = []
    models: list[_Model] = []
    group: _Group | None = None
    born: untrusted_json.Count = 0
    pace: float = 1.0


_STATES = {state.value: state for state in target.GroupState}


def decode_target(target_id: str, spec: msgspec.Raw) -> target.Target | None:
    """Decode a listed target; return ``None`` when it is unusable."""
    try:
        listed = untrusted_json.decode(spec, ListedTarget)
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
        model=_find_model(listed.models) if membership is not None else "",
        membership=membership,
        incarnation=listed.born,
        last_model=_find_model(listed.models),
    )


def decode_report(known: target.Target, body: bytes) -> target_report.TargetReport | None:
    """Decode a target's report.

    :param known: the target as known before.
    :returns: ``None`` when the report is invalid.
    """
    try:
        report = untrusted_json.decode(body, TargetReport)
        membership = _decode_group(report.group)
    except (msgspec.DecodeError, ValueError, KeyError):
        return None
    updated = msgspec.structs.replace(
        known,
        staged=tuple(report.staged),
        model=_find_model(report.models) if membership is not None else "",
        membership=membership,
        incarnation=report.born,
        last_model=_find_model(report.models),
    )
    return target_report.TargetReport(updated, report.pace, report.sequence)


def _find_model(models: list[_Model]) -> str:
    return models[0].name if models else ""


def _decode_group(group: _Group | None) -> target.Membership | None:
    if group is None:
        return None
    return target.Membership(group.name, group.epoch, group.rank, _STATES[group.state])


class _Order(msgspec.Struct, omit_defaults=True):
    # Fields with default values are not sent; "stage" has no group.
    operation: str
    group: str = ""
    epoch: int = 0
    model: str | None = None
    members: tuple[str, ...] | None = None
    mode: str | None = None
    # Value of "sequence" in the target's report; any other one makes the target refuse.
    expected: int | None = None


def make_command_request(command: group_command.Command) -> message.Request:
    """Return the request for a command; a target with another id at the address refuses it."""
    fields = headers.Headers().add("content-type", "application/json")
    fields.add(wire_request.EXPECTED_TARGET, command.target.id)
    return message.Request("POST", "/order", fields, encode_command(command))


def encode_command(command: group_command.Command) -> bytes:
    """Encode a command as a request body."""
    match command:
        case group_command.Stage(model=model):
            order = _Order("stage", model=model)
        case group_command.Join(key=key, model=model, members=members):
            order = _Order(
                "join",
                key.name,
                key.epoch,
                model=model,
                members=members,
                expected=command.expected_count,
            )
        case group_command.Open(key=key):
            order = _Order("open", key.name, key.epoch)
        case group_command.Close(key=key):
            order = _Order("close", key.name, key.epoch, mode="pending")
        case group_command.Leave(key=key):
            order = _Order("leave", key.name, key.epoch)
    return msgspec.json.encode(order)
