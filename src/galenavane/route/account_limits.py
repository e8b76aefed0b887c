"""Limits of client accounts in requests and tokens a second, at one entry."""

from __future__ import annotations

from collections import abc

from galenavane.config import declaration
from galenavane.peer import shared_state
from galenavane.route import rate, shares

BURST_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0
DEMAND_MEMORY_SECONDS = 10.0
TOLD_CHANGE = 0.4
MIN_REQUESTS_PER_SECOND = 0.1


class _Bucket:
    """A token bucket, full at first, that may go into debt by one request."""

    __slots__ = ("at", "level")

    def __init__(self, now: float) -> None:
        self.level = float("inf")
        self.at = now

    def fill(self, per_second: float, now: float) -> None:
        most = max(1.0, per_second * BURST_SECONDS)
        self.level = min(most, self.level + per_second * (now - self.at))
        self.at = now

    def wait(self, per_second: float) -> float:
        """Return the seconds until a request may pass."""
        return 0.0 if self.level > 0 else -self.level / per_second + 1.0 / per_second


class _Account:
    """One account at this entry.

    :ivar told: own demand as it was last told to peers.
    """

    __slots__ = ("request_bucket", "request_rate", "token_bucket", "token_rate", "told")

    def __init__(self, now: float) -> None:
        self.request_rate = rate.Rate(DEMAND_MEMORY_SECONDS)
        self.token_rate = rate.Rate(DEMAND_MEMORY_SECONDS)
        self.request_bucket = _Bucket(now)
        self.token_bucket = _Bucket(now)
        self.told = shared_state.Demand(0.0, 0.0)


class AccountLimits:
    """All accounts that this entry has lately seen."""

    __slots__ = ("_accounts", "_heard", "_silent")

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._heard: list[abc.Mapping[str, shared_state.Demand]] = []
        self._silent = 0

    def update_peers(self, told: list[abc.Mapping[str, shared_state.Demand]], silent: int) -> None:
        """Replace what peers told of their demand."""
        self._heard = told
        self._silent = silent

    def charge(self, policy: declaration.Account, tokens: float, now: float) -> float:
        """Count a request and charge it; return seconds to wait when it is over a limit."""
        one = self._account(policy.name, now)
        one.request_rate.add(1.0, now)
        one.token_rate.add(tokens, now)
        requests, granted = self.local_limits(policy)
        one.request_bucket.fill(requests, now)
        one.token_bucket.fill(granted, now)
        wait = max(one.request_bucket.wait(requests), one.token_bucket.wait(granted))
        if wait > 0:
            return min(wait, MAX_RETRY_AFTER_SECONDS)
        one.request_bucket.level -= 1.0
        one.token_bucket.level -= tokens
        return 0.0

    def refund(self, account: str, requests: float, tokens: float) -> None:
        """Give back what a refused or shorter request did not use."""
        one = self._accounts.get(account)
        if one is not None:
            one.request_bucket.level += requests
            one.token_bucket.level += tokens

    def local_limits(self, policy: declaration.Account) -> tuple[float, float]:
        """Return this entry's part of an account's limits, in requests and tokens a second."""
        one = self._accounts.get(policy.name)
        own = one.told if one is not None else shared_state.Demand(0.0, 0.0)
        nothing = shared_state.Demand(0.0, 0.0)
        heard = [told.get(policy.name, nothing) for told in self._heard]
        requests = shares.local_fraction(own.requests, [d.requests for d in heard], self._silent)
        tokens = shares.local_fraction(own.tokens, [d.tokens for d in heard], self._silent)
        return policy.requests_per_second * requests, policy.tokens_per_second * tokens

    def advertise_demand(self, now: float) -> dict[str, shared_state.Demand]:
        """Return the demand to tell peers; from now on it is also the one that shares use."""
        told: dict[str, shared_state.Demand] = {}
        for name, one in list(self._accounts.items()):
            requests, tokens = one.request_rate.value(now), one.token_rate.value(now)
            if requests < MIN_REQUESTS_PER_SECOND:
                del self._accounts[name]
                continue
            if _differs(one.told.requests, requests) or _differs(one.told.tokens, tokens):
                one.told = shared_state.Demand(round(requests, 1), float(round(tokens)))
            told[name] = one.told
        return told

    def _account(self, name: str, now: float) -> _Account:
        one = self._accounts.get(name)
        if one is None:
            one = self._accounts[name] = _Account(now)
        return one


def _differs(told: float, now: float) -> bool:
    return abs(told - now) > TOLD_CHANGE * told
