"""Attempts to serve one stream: while a target is silent, another one may be tried beside it.

The first attempt that has something for the client goes on alone.
"""

from __future__ import annotations

import typing
from collections import abc

import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.fleet import replica_group

_T = typing.TypeVar("_T")
Function = abc.Callable[["Attempt"], abc.Awaitable[failure.Failure | None]]


class Attempt:
    """One attempt, at one group.

    :ivar is_silent: whether its head is silent, so that another group may be tried.
    :ivar is_superseded: whether another attempt has gone on in its place.
    :ivar failure: why it has failed; ``None`` if it has answered the client.
    :ivar error: exception that has ended it.
    """

    __slots__ = (
        "_attempts",
        "_cancel_reason",
        "_is_cancelled",
        "_scope",
        "error",
        "failure",
        "group",
        "is_delivering",
        "is_silent",
        "is_superseded",
    )

    def __init__(self, attempts: Attempts, group: replica_group.Group) -> None:
        self._attempts = attempts
        self._scope = trio.CancelScope()
        self._is_cancelled = False
        self._cancel_reason = ""
        self.group = group
        self.is_silent = False
        self.is_delivering = False
        self.is_superseded = False
        self.failure: failure.Failure | None = None
        self.error: Exception | None = None

    @property
    def has_others(self) -> bool:
        """Whether other attempts are in progress."""
        return len(self._attempts.in_progress) > 1

    def note_silence(self) -> None:
        """Let another group be tried, if one can serve the stream."""
        self.is_silent = True
        self._attempts.wake()

    def cancel(self, reason: str) -> None:
        """Give the attempt up, but not in the middle of what it sends to the client."""
        self._is_cancelled = True
        self._cancel_reason = reason
        if not self.is_delivering:
            self._scope.cancel()

    async def claim(self) -> None:
        """Go on alone, or end here if another attempt has gone on before."""
        if self._is_cancelled:
            await trio.lowlevel.checkpoint_if_cancelled()
        self.is_silent = False
        self._attempts.supersede_others(self)

    async def deliver(
        self, function: abc.Callable[..., abc.Awaitable[_T]], *args: typing.Any
    ) -> _T:
        """Send something to the client, after ``claim``."""
        self.is_delivering = True
        try:
            return await function(*args)
        finally:
            self.is_delivering = False
            if self._is_cancelled:
                self._scope.cancel()

    async def run(self, function: Function) -> None:
        """Run the attempt to its end and keep the result.

        An exception is kept as well, since a nursery would wrap it in a group.
        """
        with self._scope:
            try:
                self.failure = await function(self)
            except Exception as exc:
                self.error = exc
        if self._scope.cancelled_caught:
            self.failure = failure.Failure(
                codes.Code.TARGET_SILENT, self._cancel_reason, outcomes.Outcome.UNKNOWN
            )


class Attempts:
    """The attempts of one stream.

    :ivar in_progress: attempts that have not ended.
    """

    __slots__ = ("_changed", "_ended", "_nursery", "in_progress")

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._changed = trio.Event()
        self._ended: list[Attempt] = []
        self.in_progress: list[Attempt] = []

    @property
    def is_silent(self) -> bool:
        """Whether the stream stands still because its targets are silent."""
        return all(attempt.is_silent and not attempt.is_delivering for attempt in self.in_progress)

    def add(self, group: replica_group.Group) -> Attempt:
        """Return a new attempt, which counts as in progress."""
        attempt = Attempt(self, group)
        self.in_progress.append(attempt)
        return attempt

    def start(self, attempt: Attempt, function: Function) -> None:
        """Start an attempt.

        :param function: serves the stream; returns the failure, or ``None`` if it has answered.
        """
        self._nursery.start_soon(self._run, attempt, function)

    async def _run(self, attempt: Attempt, function: Function) -> None:
        await attempt.run(function)
        self.in_progress.remove(attempt)
        self._ended.append(attempt)
        self.wake()

    def wake(self) -> None:
        """Wake the task that waits for a change."""
        self._changed.set()

    async def wait(self, seconds: float) -> list[Attempt]:
        """Wait until an attempt ends or turns silent; return those that have ended.

        :param seconds: how long to wait at most.
        """
        if not self._ended:
            with trio.move_on_after(seconds):
                await self._changed.wait()
        self._changed = trio.Event()
        ended, self._ended = self._ended, []
        return [attempt for attempt in ended if not attempt.is_superseded]

    def supersede_others(self, leader: Attempt) -> None:
        """Give up all other attempts."""
        for attempt in self.in_progress:
            if attempt is not leader:
                attempt.is_superseded = True
                attempt.cancel("another group has gone on")
