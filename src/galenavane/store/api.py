"""What the rest of the program asks of the platform; fakes in tests do the same."""

from __future__ import annotations

import typing

import expression

from galenavane.failure import failure
from galenavane.store import instance, stored


class Api(typing.Protocol):
    """The platform's object API.

    Failures carry ``PLATFORM_DOWN`` (no write took effect), ``PLATFORM_CONFLICT``,
    ``PLATFORM_UNKNOWN`` (a write may have taken effect), ``PLATFORM_REFUSED`` (call rate) or
    ``VALUE_TOO_LARGE``.

    :ivar calls: calls made so far.
    """

    calls: int

    async def get(self, key: str) -> expression.Result[stored.StoredObject, failure.Failure]:
        """Return an object; version 0 when it does not exist."""

    async def put(
        self, key: str, value: str, if_version: int | None
    ) -> expression.Result[int, failure.Failure]:
        """Write an object conditionally and return its new version."""

    async def delete(
        self, key: str, if_version: int | None
    ) -> expression.Result[int, failure.Failure]:
        """Delete an object conditionally."""

    async def list_objects(self, prefix: str) -> expression.Result[stored.Listing, failure.Failure]:
        """Return the objects under a prefix."""

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> expression.Result[stored.Listing, failure.Failure]:
        """Wait for changes after a revision; empty when none came in time."""

    async def list_instances(
        self, data_centre: str = "", after: int = 0
    ) -> expression.Result[instance.InstanceList, failure.Failure]:
        """Return the lagging list of a data centre's or all instances if newer than a version."""
