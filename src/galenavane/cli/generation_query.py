"""Queries running entries for the generation that they have in force."""

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

MAX_QUERIED_PER_DATA_CENTRE = 3
TIMEOUT_SECONDS = 2.0
MAX_ANSWER_BYTES = 10_000


@dataclasses.dataclass(slots=True)
class EntryGenerations:
    """Generations in force on the queried entries.

    :ivar highest_generation: highest generation in force, 0 when no entry answered.
    :ivar unanswered: names of queried entries that did not answer.
    """

    highest_generation: int = 0
    unanswered: list[str] = dataclasses.field(default_factory=list)


async def query_entries(net: network.Network, platform: api.Api) -> EntryGenerations:
    """Query up to ``MAX_QUERIED_PER_DATA_CENTRE`` registered entries of each data centre."""
    generations = EntryGenerations()
    registration_objects = await platform.list_objects(registration.PREFIX)
    if registration_objects.is_error():
        return generations
    registrations = [
        registration.decode(stored.value) for stored in registration_objects.ok.objects
    ]
    async with trio.open_nursery() as nursery:
        for entry in _select_entries([entry for entry in registrations if entry is not None]):
            nursery.start_soon(_query_entry, net, entry, generations)
    return generations


def _select_entries(
    registrations: list[registration.Registration],
) -> list[registration.Registration]:
    selected = []
    counts: collections.Counter[str] = collections.Counter()
    for entry in registrations:
        counts[entry.data_centre] += 1
        if counts[entry.data_centre] <= MAX_QUERIED_PER_DATA_CENTRE:
            selected.append(entry)
    return selected


async def _query_entry(
    net: network.Network, entry: registration.Registration, generations: EntryGenerations
) -> None:
    req = message.Request("GET", configuration_status.PATH)
    try:
        operators_address = addresses.parse(entry.operators)
        response = await round_trip.send(
            net, operators_address, req, TIMEOUT_SECONDS, MAX_ANSWER_BYTES
        )
        status = msgspec.json.decode(response.body, type=configuration_status.ConfigurationStatus)
    except (transport_error.TransportError, msgspec.DecodeError, ValueError):
        generations.unanswered.append(entry.name)
        return
    generations.highest_generation = max(generations.highest_generation, status.generation)
