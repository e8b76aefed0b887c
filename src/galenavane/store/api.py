"""Interface of the platform's object API, implemented by the client and by fakes in tests."""

from __future__ import annotations

import typing

import expression

from galenavane.failure import failure
from galenavane.store import instance, stored


class Api(typing.Protocol):
    """The platform's object API.

    Failures have one of these codes: ``PLATFORM_DOWN`` (unavailable; no write took effect),
    ``PLATFORM_CONFLICT`` (the version has changed), ``PLATFORM_UNKNOWN`` (a write may have taken
    effect), ``PLATFORM_REFUSED`` (call rate exceeded) or ``VALUE_TOO_LARGE``.

    :ivar calls: number of calls made so far.
    """

    calls: int

    async def get(self, key: str) -> expression.Result[stored.StoredObject, failure.Failure]:
        """Return an object; its version is 0 if it does not exist."""

    async def put(
        self, key: str, value: str, if_version: int | None
    ) -> expression.Result[int, failure.Failure]:
        """Write an object and return its new version.

        :param if_version: version that must be current, 0 if the object must not exist; ``None``
            writes unconditionally.
        """

    async def delete(
        self, key: str, if_version: int | None
    ) -> expression.Result[int, failure.Failure]:
        """Delete an object and return the version of the deletion.

        :param if_version: version that must be current; ``None`` deletes unconditionally.
        """

    async def list_objects(self, prefix: str) -> expression.Result[stored.Listing, failure.Failure]:
        """Return the objects whose keys start with a prefix."""

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> expression.Result[stored.Listing, failure.Failure]:
        """Wait for changes under a prefix; the listing is empty if there were none in time.

        :param after: revision after which changes are returned.
        :param wait_seconds: longest wait of the platform.
        """

    async def list_instances(
        self, data_centre: str = "", after: int = 0
    ) -> expression.Result[instance.InstanceList, failure.Failure]:
        """Return the list of instances, which lags behind their real state.

        :param data_centre: data centre of the instances, empty for all.
        :param after: version of the list already known; without a newer one the list is omitted.
        """
