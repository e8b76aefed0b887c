"""Asks running entries for the generation that they have in force."""

from __future__ import annotations

import collections
import dataclasses

import msgspec
import trio

from galenavane.entry import configuration_status
from galenavane.net import address as addresses
from galenavane.net import message, network, round_trip, transport_error
from galenavane.peer import registration
from galenavane.store import api

ASKED_PER_DATA_CENTRE = 3
TIMEOUT_SECONDS = 2.0
MAX_ANSWER_BYTES = 10_000


@dataclasses.dataclass(slots=True)
class EntryGenerations:
    """What the entries answered.

    :ivar highest_generation: highest generation in force, 0 when none answered.
    :ivar unanswered: names of asked entries that did not answer.
    """

    highest_generation: int = 0
    unanswered: list[str] = dataclasses.field(default_factory=list)


async def query_entries(net: network.Network, platform: api.Api) -> EntryGenerations:
    """Ask some registered entries of each data centre."""
    seen = EntryGenerations()
    listed = await platform.list_objects(registration.PREFIX)
    if listed.is_error():
        return seen
    found = [registration.decode(one.value) for one in listed.ok.objects]
    async with trio.open_nursery() as nursery:
        for one in _choose([entry for entry in found if entry is not None]):
            nursery.start_soon(_ask_one, net, one, seen)
    return seen


def _choose(found: list[registration.Registration]) -> list[registration.Registration]:
    chosen = []
    counts: collections.Counter[str] = collections.Counter()
    for one in found:
        counts[one.data_centre] += 1
        if counts[one.data_centre] <= ASKED_PER_DATA_CENTRE:
            chosen.append(one)
    return chosen


async def _ask_one(
    net: network.Network, one: registration.Registration, seen: EntryGenerations
) -> None:
    req = message.Request("GET", configuration_status.PATH)
    try:
        where = addresses.parse(one.operators)
        response = await round_trip.send(net, where, req, TIMEOUT_SECONDS, MAX_ANSWER_BYTES)
        answer = msgspec.json.decode(response.body, type=configuration_status.ConfigurationStatus)
    except (transport_error.TransportError, msgspec.DecodeError, ValueError):
        seen.unanswered.append(one.name)
        return
    seen.highest_generation = max(seen.highest_generation, answer.generation)
