"""Keeps apart what was told to whom, since not every beat goes to every peer."""

from __future__ import annotations

from galenavane.peer import facts, facts_update

MAX_SENDERS = 64


class Senders:
    """A sender for each set of addresses that get the same beats."""

    __slots__ = ("_senders",)

    def __init__(self) -> None:
        self._senders: dict[tuple[str, ...], facts_update.Sender] = {}

    def next_update(self, addresses: list[str], own: facts.Facts) -> facts_update.Update:
        """Return the part to send to these addresses now."""
        key = tuple(addresses)
        sender = self._senders.pop(key, None) or facts_update.Sender()
        self._senders[key] = sender
        if len(self._senders) > MAX_SENDERS:
            del self._senders[next(iter(self._senders))]
        return sender.next_update(own)
