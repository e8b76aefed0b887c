"""Operators' HTTP of one entry."""

from __future__ import annotations

import msgspec

from galenavane.config import settings
from galenavane.control import completeness, sighting, table
from galenavane.entry import generation
from galenavane.entry import view as views
from galenavane.net import http_server, message
from galenavane.platform import instance


class GroupStatus(msgspec.Struct, frozen=True):
    """One group as this entry sees it."""

    name: str
    service: str
    version: str
    epoch: int
    phase: table.Phase
    complete: bool
    members: list[str]


class EntryStatus(msgspec.Struct, frozen=True):
    """What one entry answers to ``galenavane status``.

    :ivar generation: 0 when it has no configuration.
    :ivar token: fencing token while it holds the lease, else ``None``.
    :ivar stranded: idle engines of its data centre.
    """

    name: str
    data_centre: str
    generation: int
    preset: str
    token: int | None
    leaving: bool
    active: int
    peers: list[str]
    groups: list[GroupStatus]
    stranded: list[str]


def make_handler(view: views.View) -> http_server.Handler:
    """Return the handler of operators' requests."""

    async def handle(exchange: http_server.Exchange) -> None:
        if exchange.request.path == "/status":
            await exchange.respond(message.json_response(200, describe(view)))
        elif exchange.request.path == generation.PATH:
            await exchange.respond(message.json_response(200, generation.describe(view)))
        else:
            await exchange.respond(message.json_response(404, {"error": "no such path"}))

    return handle


def describe(view: views.View) -> EntryStatus:
    """Return the status of this entry."""
    configuration = view.configuration.value
    groups = [
        _describe_group(view, group) for one in view.tables.value.values() for group in one.groups
    ]
    return EntryStatus(
        name=view.cfg.get(settings.NAME),
        data_centre=view.cfg.get(settings.DATA_CENTRE),
        generation=configuration.head.generation if configuration else 0,
        preset=configuration.head.preset if configuration else "",
        token=view.token.value,
        leaving=view.leaving.value,
        active=view.active.value,
        peers=sorted(one.name for one in view.peers.value),
        groups=sorted(groups, key=lambda one: one.name),
        stranded=_stranded(view, groups),
    )


def _describe_group(view: views.View, group: table.Group) -> GroupStatus:
    return GroupStatus(
        group.name,
        group.service,
        group.version,
        group.epoch,
        group.phase,
        completeness.is_complete(group, view.seen.value, view.seen.set_at),
        [one.instance for one in group.members],
    )


def _stranded(view: views.View, groups: list[GroupStatus]) -> list[str]:
    busy = {name for group in groups if group.complete for name in group.members}
    own = view.cfg.get(settings.DATA_CENTRE)
    return sorted(
        name for name, one in view.seen.value.items() if name not in busy and _is_own(one, own)
    )


def _is_own(one: sighting.Sighting, data_centre: str) -> bool:
    return (one.instance.kind, one.instance.data_centre) == (instance.Kind.ENGINE, data_centre)
