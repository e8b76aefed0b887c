"""The interface of control calls to targets, also implemented by fakes in tests."""

from __future__ import annotations

import typing
from collections import abc

import expression

from galenavane.failure import failure
from galenavane.target import command, report


class Api(typing.Protocol):
    """Control calls to the engine of a group member.

    Failures have the code ``TARGET_UNREACHABLE``, ``TARGET_REFUSED`` (the command was not carried
    out), ``STALE_TOKEN`` or ``TARGET_LOST`` (it may have been carried out).
    """

    async def fetch_report(self, address: str) -> expression.Result[report.Report, failure.Failure]:
        """Return the member's report."""

    async def send(
        self, address: str, target_command: command.Command, is_allowed: abc.Callable[[], bool]
    ) -> expression.Result[report.Report, failure.Failure]:
        """Send a command and return the member's report after it.

        :param is_allowed: called right before the first byte is sent; when it returns false, the
            failure is ``TARGET_UNREACHABLE``.
        """

    async def fetch_cache_events(
        self, address: str, after: int
    ) -> expression.Result[report.CacheEvents, failure.Failure]:
        """Return the cache events after an event number."""
