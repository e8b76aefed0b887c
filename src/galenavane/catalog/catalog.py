"""One version of the configuration, indexed for lookups."""

from __future__ import annotations

from collections import abc

from galenavane.catalog import account as accounts
from galenavane.catalog import limits, route, service


class Catalog:
    """One version of the configuration.

    :ivar version: grows with each change, in uneven steps.
    :ivar has_accounts: whether requests need keys.
    """

    __slots__ = ("_by_key", "_by_place", "has_accounts", "limits", "services", "version")

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
        self.services = {one.name: one for one in services}
        self.has_accounts = bool(known_accounts)
        self._by_place = {(one.host, one.path_prefix): one for one in routes}
        self._by_key = {key: one for one in known_accounts for key in one.keys}

    def find_route(self, host: str, path: str) -> route.Route | None:
        """Return the route of a host with the longest prefix that begins the path."""
        end = path.rfind("/")
        while end >= 0:
            found = self._by_place.get((host, path[: end + 1]))
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def find_account(self, key: str) -> accounts.Account | None:
        """Return the client account that holds a key."""
        return self._by_key.get(key)

    def engine_services(self) -> list[service.Service]:
        """Return the services that replica groups serve."""
        return [one for one in self.services.values() if one.engine is not None]
