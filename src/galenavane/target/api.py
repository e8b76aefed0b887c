"""What the rest of the program asks of targets; fakes in tests do the same."""

from __future__ import annotations

import typing
from collections import abc

import expression

from galenavane.failure import failure
from galenavane.target import command, report


class Api(typing.Protocol):
    """Control calls to a member's engine.

    Failures carry ``TARGET_UNREACHABLE``, ``TARGET_REFUSED`` (not done), ``STALE_TOKEN`` or
    ``TARGET_LOST`` (perhaps done).
    """

    async def fetch_report(self, address: str) -> expression.Result[report.Report, failure.Failure]:
        """Return what the member reports of itself."""

    async def send(
        self, address: str, target_command: command.Command, is_allowed: abc.Callable[[], bool]
    ) -> expression.Result[report.Report, failure.Failure]:
        """Give a command and return the report after it.

        :param is_allowed: asked right before the first byte is sent; when it says no, the
            failure is ``TARGET_UNREACHABLE``.
        """

    async def fetch_cache_events(
        self, address: str, after: int
    ) -> expression.Result[report.CacheEvents, failure.Failure]:
        """Return cache events after a number."""
