"""Sends facts in small parts: what changed first, then what was not sent for longest."""

from __future__ import annotations

import collections
import typing

import msgspec

from galenavane.peer import shared_state

MAX_DELTA_BYTES = 70
REMOVAL_SENDS = 5

Delta = dict[int, dict[str, typing.Any]]


class DeltaSender:
    """What an entry has told of its own facts.

    :ivar last_sent: value last sent, by field index and key; ``None`` after a removal.
    """

    __slots__ = ("_removals", "_turn", "_turns", "last_sent")

    def __init__(self) -> None:
        self.last_sent: dict[tuple[int, str], typing.Any] = {}
        self._turns: dict[tuple[int, str], int] = {}
        self._turn = 0
        self._removals: collections.Counter[tuple[int, str]] = collections.Counter()

    def next_delta(self, own: shared_state.SharedState) -> Delta:
        """Return the part to send now, within ``MAX_DELTA_BYTES`` of keys and values."""
        wanted = flatten(own)
        self._turn += 1
        room = MAX_DELTA_BYTES
        update: Delta = {}
        for key in self._order(wanted):
            value = wanted.get(key)
            size = len(msgspec.msgpack.encode(key[1])) + len(msgspec.msgpack.encode(value))
            if size > room and update:
                break
            room -= size
            update.setdefault(key[0], {})[key[1]] = value
            self._remember(key, value)
        return update

    def _order(self, wanted: dict[tuple[int, str], typing.Any]) -> list[tuple[int, str]]:
        keys = {*wanted, *self.last_sent}
        return sorted(
            keys,
            key=lambda key: (
                key in self.last_sent and self.last_sent[key] == wanted.get(key),
                self._turns.get(key, 0),
                -key[0],
                key[1],
            ),
        )

    def _remember(self, key: tuple[int, str], value: typing.Any) -> None:
        self.last_sent[key] = value
        self._turns[key] = self._turn
        if value is not None:
            self._removals.pop(key, None)
            return
        # Beats may be lost, so a removal is told several times before it is forgotten.
        self._removals[key] += 1
        if self._removals[key] >= REMOVAL_SENDS:
            del self.last_sent[key], self._turns[key], self._removals[key]


def flatten(own: shared_state.SharedState) -> dict[tuple[int, str], typing.Any]:
    """Return the entries of facts by field index and key."""
    entries: dict[tuple[int, str], typing.Any] = {}
    for index, field in enumerate(own.__struct_fields__):
        value = msgspec.to_builtins(getattr(own, field))
        if isinstance(value, list):
            value = dict.fromkeys(value, True)
        entries.update({(index, key): one for key, one in value.items()})
    return entries


def apply(before: shared_state.SharedState, update: Delta) -> shared_state.SharedState:
    """Return facts with an update taken in.

    :raises msgspec.ValidationError: when the update does not fit the fields.
    """
    fields: list[typing.Any] = []
    for index, field in enumerate(before.__struct_fields__):
        value = msgspec.to_builtins(getattr(before, field))
        fields.append(_merge(value, update.get(index, {})))
    return msgspec.convert(fields, shared_state.SharedState)


def _merge(value: typing.Any, changes: dict[str, typing.Any]) -> typing.Any:
    if isinstance(value, list):
        kept = {*value, *(key for key, one in changes.items() if one is not None)}
        return sorted(kept - {key for key, one in changes.items() if one is None})
    merged = {**value, **changes}
    return {key: one for key, one in merged.items() if one is not None}
