"""Keeps apart what was told to whom, since not every beat goes to every peer."""

from __future__ import annotations

from galenavane.peer import shared_state, state_delta

MAX_SENDERS = 64


class DeltaSenders:
    """A sender for each set of addresses that get the same beats."""

    __slots__ = ("_senders",)

    def __init__(self) -> None:
        self._senders: dict[tuple[str, ...], state_delta.DeltaSender] = {}

    def next_delta(self, addresses: list[str], own: shared_state.SharedState) -> state_delta.Delta:
        """Return the part to send to these addresses now."""
        key = tuple(addresses)
        sender = self._senders.pop(key, None) or state_delta.DeltaSender()
        self._senders[key] = sender
        if len(self._senders) > MAX_SENDERS:
            del self._senders[next(iter(self._senders))]
        return sender.next_delta(own)
