"""Bounds further sends of requests to a share of the requests of a service.

The bound holds for all entries together; each uses its share of the slack and of its own
requests, so that nothing has to be agreed.
"""

from __future__ import annotations

import collections

USED_SHARE = 0.8
"""Part of the bound that is used, since windows of different entries don't start together."""


class SendBudget:
    """Further sends of one entry in a sliding window."""

    __slots__ = ("_first_sends", "_further_sends", "_ratio", "_slack", "_window_seconds")

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._first_sends: collections.deque[float] = collections.deque()
        self._further_sends: collections.deque[float] = collections.deque()

    def count_first(self, now: float) -> None:
        """Count the first send of a request."""
        self._drop_expired(now)
        self._first_sends.append(now)

    def try_spend(self, entries: int, now: float) -> bool:
        """Take one further send; return whether there was one.

        :param entries: entries that share the slack.
        """
        self._drop_expired(now)
        allowed = USED_SHARE * (
            self._ratio * len(self._first_sends) + self._slack / max(1, entries)
        )
        if len(self._further_sends) + 1 > allowed:
            return False
        self._further_sends.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for sends in (self._first_sends, self._further_sends):
            while sends and sends[0] <= now - self._window_seconds:
                sends.popleft()
