"""Limits further sends of requests to a share of a service's requests.

The limit holds for all entries together. Each entry uses its share of the slack and the ratio of
its own requests, so entries need no coordination.
"""

from __future__ import annotations

import collections

USED_SHARE = 0.8
"""Used part of the limit, because the windows of different entries aren't aligned."""


class SendBudget:
    """First and further sends of one entry in a sliding window.

    :param ratio: further sends allowed per first send.
    :param slack: further sends allowed beyond the ratio, for all entries together.
    """

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
        """Take one further send from the budget; return whether one was left.

        :param entries: number of entries that share the slack.
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
