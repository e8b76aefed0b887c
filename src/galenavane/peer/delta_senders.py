"""Tracks the shared state that was sent to each set of receivers.

Not every heartbeat goes to every peer, so the receivers of one do not share a history with others.
"""

from __future__ import annotations

from galenavane.peer import shared_state, state_delta

MAX_SENDERS = 64


class DeltaSenders:
    """One sender for each set of addresses that get the same heartbeats.

    At most ``MAX_SENDERS`` are kept; the least recently used one is dropped first.
    """

    __slots__ = ("_senders",)

    def __init__(self) -> None:
        self._senders: dict[tuple[str, ...], state_delta.DeltaSender] = {}

    def next_delta(self, addresses: list[str], own: shared_state.SharedState) -> state_delta.Delta:
        """Return the delta to send to these addresses now."""
        key = tuple(addresses)
        sender = self._senders.pop(key, None) or state_delta.DeltaSender()
        self._senders[key] = sender
        if len(self._senders) > MAX_SENDERS:
            del self._senders[next(iter(self._senders))]
        return sender.next_delta(own)
