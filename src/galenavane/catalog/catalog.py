"""Indexes one version of the configuration for lookups."""

from __future__ import annotations

from collections import abc

from galenavane.catalog import account as accounts
from galenavane.catalog import limits, route, service


class Catalog:
    """One version of the configuration.

    :ivar version: increases with each change, not always by one.
    :ivar has_accounts: whether there are client accounts, so that requests need API keys.
    """

    __slots__ = (
        "_accounts_by_key",
        "_routes_by_prefix",
        "has_accounts",
        "limits",
        "services",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: abc.Iterable[route.Route],
        services: abc.Iterable[service.Service],
        known_accounts: abc.Sequence[accounts.Account],
        client_limits: limits.Limits,
    ) -> None:
        self.version = version
        self.limits = client_limits
        self.services = {each_service.name: each_service for each_service in services}
        self.has_accounts = bool(known_accounts)
        self._routes_by_prefix = {
            (each_route.host, each_route.path_prefix): each_route for each_route in routes
        }
        self._accounts_by_key = {
            key: each_account for each_account in known_accounts for key in each_account.keys
        }

    def find_route(self, host: str, path: str) -> route.Route | None:
        """Return the route of a host with the longest matching path prefix."""
        end = path.rfind("/")
        while end >= 0:
            match = self._routes_by_prefix.get((host, path[: end + 1]))
            if match is not None:
                return match
            end = path.rfind("/", 0, end)
        return None

    def find_account(self, key: str) -> accounts.Account | None:
        """Return the client account of an API key."""
        return self._accounts_by_key.get(key)

    def engine_services(self) -> list[service.Service]:
        """Return the services that are served by replica groups."""
        return [
            each_service
            for each_service in self.services.values()
            if each_service.engine is not None
        ]
