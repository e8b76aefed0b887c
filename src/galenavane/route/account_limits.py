"""Enforces the request and token rate limits of client accounts at one entry."""

from __future__ import annotations

from collections import abc

from galenavane.config import declaration
from galenavane.peer import shared_state
from galenavane.route import rate, shares

BURST_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0
DEMAND_TIME_CONSTANT_SECONDS = 10.0
MIN_RELATIVE_CHANGE = 0.4
"""Relative change of demand up to which the old value is advertised again."""
MIN_REQUESTS_PER_SECOND = 0.1


class _Bucket:
    """A token bucket that starts full and that one request may overdraw.

    :ivar level: requests or tokens left, negative when overdrawn.
    :ivar refilled_at: monotonic time of the last refill.
    """

    __slots__ = ("level", "refilled_at")

    def __init__(self, now: float) -> None:
        self.level = float("inf")
        self.refilled_at = now

    def refill(self, per_second: float, now: float) -> None:
        capacity = max(1.0, per_second * BURST_SECONDS)
        self.level = min(capacity, self.level + per_second * (now - self.refilled_at))
        self.refilled_at = now

    def wait_seconds(self, per_second: float) -> float:
        """Return the time in seconds until the next request is allowed."""
        return 0.0 if self.level > 0 else -self.level / per_second + 1.0 / per_second


class _Account:
    """Rates and token buckets of one account at this entry.

    :ivar advertised: this entry's demand as it was last sent to peers.
    """

    __slots__ = ("advertised", "request_bucket", "request_rate", "token_bucket", "token_rate")

    def __init__(self, now: float) -> None:
        self.request_rate = rate.Rate(DEMAND_TIME_CONSTANT_SECONDS)
        self.token_rate = rate.Rate(DEMAND_TIME_CONSTANT_SECONDS)
        self.request_bucket = _Bucket(now)
        self.token_bucket = _Bucket(now)
        self.advertised = shared_state.Demand(0.0, 0.0)


class AccountLimits:
    """Rate limits of all accounts with recent requests at this entry."""

    __slots__ = ("_accounts", "_peer_demand", "_unreachable")

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._peer_demand: list[abc.Mapping[str, shared_state.Demand]] = []
        self._unreachable = 0

    def update_peers(
        self, peer_demand: list[abc.Mapping[str, shared_state.Demand]], unreachable: int
    ) -> None:
        """Replace the demand that peers advertise.

        :param peer_demand: demand by account name, for each reachable peer.
        :param unreachable: number of entries that are listed as live but can't be reached.
        """
        self._peer_demand = peer_demand
        self._unreachable = unreachable

    def charge(self, policy: declaration.Account, tokens: float, now: float) -> float:
        """Count a request and charge it to its account unless the account is over a limit.

        :param tokens: tokens that the request may use.
        :returns: 0 when the request was charged, else the seconds after which to retry.
        """
        account = self._find_or_add(policy.name, now)
        account.request_rate.add(1.0, now)
        account.token_rate.add(tokens, now)
        requests_per_second, tokens_per_second = self.local_limits(policy)
        account.request_bucket.refill(requests_per_second, now)
        account.token_bucket.refill(tokens_per_second, now)
        wait = max(
            account.request_bucket.wait_seconds(requests_per_second),
            account.token_bucket.wait_seconds(tokens_per_second),
        )
        if wait > 0:
            return min(wait, MAX_RETRY_AFTER_SECONDS)
        account.request_bucket.level -= 1.0
        account.token_bucket.level -= tokens
        return 0.0

    def refund(self, name: str, requests: float, tokens: float) -> None:
        """Return the unused requests and tokens of a refused or shorter request."""
        account = self._accounts.get(name)
        if account is not None:
            account.request_bucket.level += requests
            account.token_bucket.level += tokens

    def local_limits(self, policy: declaration.Account) -> tuple[float, float]:
        """Return this entry's share of an account's limits, in requests and tokens per second."""
        account = self._accounts.get(policy.name)
        own_demand = account.advertised if account is not None else shared_state.Demand(0.0, 0.0)
        no_demand = shared_state.Demand(0.0, 0.0)
        peer_demands = [
            demand_by_account.get(policy.name, no_demand) for demand_by_account in self._peer_demand
        ]
        request_share = shares.local_fraction(
            own_demand.requests, [demand.requests for demand in peer_demands], self._unreachable
        )
        token_share = shares.local_fraction(
            own_demand.tokens, [demand.tokens for demand in peer_demands], self._unreachable
        )
        return policy.requests_per_second * request_share, policy.tokens_per_second * token_share

    def advertise_demand(self, now: float) -> dict[str, shared_state.Demand]:
        """Return the demand to send to peers, by account name.

        This entry computes its own share from the returned values too, so that all entries use
        the same numbers. Accounts with fewer than ``MIN_REQUESTS_PER_SECOND`` are dropped.
        """
        advertised: dict[str, shared_state.Demand] = {}
        for name, account in list(self._accounts.items()):
            requests, tokens = account.request_rate.value(now), account.token_rate.value(now)
            if requests < MIN_REQUESTS_PER_SECOND:
                del self._accounts[name]
                continue
            if _has_changed(account.advertised.requests, requests) or _has_changed(
                account.advertised.tokens, tokens
            ):
                account.advertised = shared_state.Demand(round(requests, 1), float(round(tokens)))
            advertised[name] = account.advertised
        return advertised

    def _find_or_add(self, name: str, now: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(now)
        return account


def _has_changed(advertised: float, current: float) -> bool:
    return abs(advertised - current) > MIN_RELATIVE_CHANGE * advertised
