"""What the rest of the program asks of targets; fakes in tests do the same."""

from __future__ import annotations

import typing

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
        self, address: str, order: command.Command
    ) -> expression.Result[report.Report, failure.Failure]:
        """Give a command and return the report after it."""

    async def cache_events(
        self, address: str, after: int
    ) -> expression.Result[report.CacheEvents, failure.Failure]:
        """Return cache events after a number."""
