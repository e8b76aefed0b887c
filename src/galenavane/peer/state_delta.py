"""Splits shared state into small deltas, one for each heartbeat.

Changed values are sent first, then those sent longest ago.
"""

from __future__ import annotations

import collections
import typing

import msgspec

from galenavane.peer import shared_state

MAX_DELTA_BYTES = 70
REMOVAL_SENDS = 5

Delta = dict[int, dict[str, typing.Any]]


class DeltaSender:
    """Deltas of this entry's shared state for one set of receivers.

    The receivers are peers that get the same heartbeats. Each set has its own sender, because
    what is sent next depends on what the same peers were sent before.

    :ivar last_sent: value last sent, by field index and key; ``None`` for a removed key.
    """

    __slots__ = ("_removals", "_round", "_sent_in_round", "last_sent")

    def __init__(self) -> None:
        self.last_sent: dict[tuple[int, str], typing.Any] = {}
        self._sent_in_round: dict[tuple[int, str], int] = {}
        self._round = 0
        self._removals: collections.Counter[tuple[int, str]] = collections.Counter()

    def next_delta(self, own: shared_state.SharedState) -> Delta:
        """Return the next delta to send.

        Its encoded keys and values take at most ``MAX_DELTA_BYTES``, or it has a single value.
        """
        current = flatten(own)
        self._round += 1
        bytes_left = MAX_DELTA_BYTES
        delta: Delta = {}
        for key in self._sort_by_priority(current):
            value = current.get(key)
            size = len(msgspec.msgpack.encode(key[1])) + len(msgspec.msgpack.encode(value))
            if size > bytes_left and delta:
                break
            bytes_left -= size
            delta.setdefault(key[0], {})[key[1]] = value
            self._record_sent(key, value)
        return delta

    def _sort_by_priority(
        self, current: dict[tuple[int, str], typing.Any]
    ) -> list[tuple[int, str]]:
        keys = {*current, *self.last_sent}
        return sorted(
            keys,
            key=lambda key: (
                key in self.last_sent and self.last_sent[key] == current.get(key),
                self._sent_in_round.get(key, 0),
                -key[0],
                key[1],
            ),
        )

    def _record_sent(self, key: tuple[int, str], value: typing.Any) -> None:
        self.last_sent[key] = value
        self._sent_in_round[key] = self._round
        if value is not None:
            self._removals.pop(key, None)
            return
        # The heartbeats that carry deltas may be lost, so a removal is sent several times before
        # the key is dropped.
        self._removals[key] += 1
        if self._removals[key] >= REMOVAL_SENDS:
            del self.last_sent[key], self._sent_in_round[key], self._removals[key]


def flatten(own: shared_state.SharedState) -> dict[tuple[int, str], typing.Any]:
    """Return the values of a shared state by field index and key."""
    entries: dict[tuple[int, str], typing.Any] = {}
    for index, field in enumerate(own.__struct_fields__):
        value = msgspec.to_builtins(getattr(own, field))
        if isinstance(value, list):
            value = dict.fromkeys(value, True)
        entries.update({(index, key): item for key, item in value.items()})
    return entries


def apply(before: shared_state.SharedState, delta: Delta) -> shared_state.SharedState:
    """Return the shared state after a delta.

    :raises msgspec.ValidationError: when a value of the delta has the wrong type for its field.
    """
    fields: list[typing.Any] = []
    for index, field in enumerate(before.__struct_fields__):
        value = msgspec.to_builtins(getattr(before, field))
        fields.append(_merge(value, delta.get(index, {})))
    return msgspec.convert(fields, shared_state.SharedState)


def _merge(value: typing.Any, changes: dict[str, typing.Any]) -> typing.Any:
    if isinstance(value, list):
        kept = {*value, *(key for key, item in changes.items() if item is not None)}
        return sorted(kept - {key for key, item in changes.items() if item is None})
    merged = {**value, **changes}
    return {key: item for key, item in merged.items() if item is not None}
