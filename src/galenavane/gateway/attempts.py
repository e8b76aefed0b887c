"""Attempts to serve one request: while a target is silent, another one may be tried beside it.

The first attempt that has something for the client goes on alone.
"""

from __future__ import annotations

import math
import typing
from collections import abc

import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.fleet import replica_group
from galenavane.observe import events, trace_text

HEDGE_INTERVAL_SECONDS = 0.15
"""How often another destination is looked for while all those that are tried are silent."""
_T = typing.TypeVar("_T")
_Destination = typing.TypeVar("_Destination")


class Attempt(typing.Generic[_Destination]):
    """One attempt, at one destination: a group, or a target without one.

    :ivar is_silent: whether its destination is silent, so that another one may be tried.
    :ivar has_begun: whether any byte of the request may have been sent.
    :ivar is_superseded: whether another attempt has gone on in its place.
    :ivar failure: why it has failed; ``None`` if it has answered the client.
    :ivar error: exception that has ended it.
    """

    __slots__ = (
        "_attempts",
        "_cancel_reason",
        "_has_answered",
        "_is_cancelled",
        "_scope",
        "_silent_at",
        "destination",
        "error",
        "failure",
        "has_begun",
        "is_delivering",
        "is_silent",
        "is_superseded",
    )

    def __init__(self, attempts: Attempts[_Destination], destination: _Destination) -> None:
        self._attempts = attempts
        self._scope = trio.CancelScope()
        self._is_cancelled = False
        self._cancel_reason = ""
        self._has_answered = False
        self._silent_at = math.inf
        self.destination = destination
        self.has_begun = False
        self.is_silent = False
        self.is_delivering = False
        self.is_superseded = False
        self.failure: failure.Failure | None = None
        self.error: Exception | None = None

    @property
    def has_others(self) -> bool:
        """Whether other attempts are in progress."""
        return len(self._attempts.in_progress) > 1

    @property
    def silent_at(self) -> float:
        """When the destination counts as silent, on trio's clock."""
        return math.inf if self.is_silent else self._silent_at

    def note_silence(self) -> None:
        """Let another destination be tried, if one can serve the request."""
        self.is_silent = True
        self._attempts.wake()

    def expect_answer(self, seconds: float) -> None:
        """Let another destination be tried unless this one answers in time."""
        self._silent_at = trio.current_time() + seconds
        self._attempts.wake()

    async def begin(self) -> None:
        """Give up the attempts that have sent nothing, or end here if one of them was faster."""
        if self._is_cancelled:
            await trio.lowlevel.checkpoint_if_cancelled()
        self.has_begun = True
        self.is_silent = False
        self._attempts.supersede_others(self, has_begun=False)

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
            elif self.is_silent:
                self._attempts.wake()

    async def finish(
        self, function: abc.Callable[..., abc.Awaitable[None]], *args: typing.Any
    ) -> None:
        """Send the end of the answer to the client, after ``claim``; then nothing is left to do."""
        await self.deliver(function, *args)
        self._has_answered = True

    async def run(self, function: Function[_Destination]) -> None:
        """Run the attempt to its end and keep the result.

        An exception is kept as well, since a nursery would wrap it in a group.
        """
        with self._scope:
            try:
                self.failure = await function(self)
            except Exception as exc:
                self.error = exc
        if self._scope.cancelled_caught and not self._has_answered:
            self.failure = failure.Failure(
                codes.Code.TARGET_SILENT, self._cancel_reason, outcomes.Outcome.UNKNOWN
            )


Function = abc.Callable[[Attempt[_Destination]], abc.Awaitable[failure.Failure | None]]
GroupAttempt = Attempt[replica_group.Group]
GroupFunction = Function[replica_group.Group]


class Attempts(typing.Generic[_Destination]):
    """The attempts of one request.

    :ivar in_progress: attempts that have not ended.
    """

    __slots__ = ("_changed", "_ended", "_nursery", "in_progress")

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._changed = trio.Event()
        self._ended: list[Attempt[_Destination]] = []
        self.in_progress: list[Attempt[_Destination]] = []

    @property
    def is_silent(self) -> bool:
        """Whether the request stands still: no destination is tried, or all are silent."""
        return all(attempt.is_silent and not attempt.is_delivering for attempt in self.in_progress)

    def add(self, destination: _Destination) -> Attempt[_Destination]:
        """Return a new attempt, which counts as in progress."""
        attempt = Attempt(self, destination)
        self.in_progress.append(attempt)
        return attempt

    def start(self, attempt: Attempt[_Destination], function: Function[_Destination]) -> None:
        """Start an attempt.

        :param function: serves the request; returns the failure, or ``None`` if it has answered.
        """
        self._nursery.start_soon(self._run, attempt, function)

    async def _run(self, attempt: Attempt[_Destination], function: Function[_Destination]) -> None:
        await attempt.run(function)
        if attempt.error is not None and attempt.is_superseded:
            # The attempt that has gone on must not end with it.
            events.log("attempt.defect", text=trace_text.make(attempt.error))
        self.in_progress.remove(attempt)
        self._ended.append(attempt)
        self.wake()

    def wake(self) -> None:
        """Wake the task that waits for a change."""
        self._changed.set()

    async def wait(self, seconds: float) -> list[Attempt[_Destination]]:
        """Wait until an attempt ends or turns silent; return those that have ended.

        :param seconds: how long to wait at most.
        """
        if not self._ended:
            silent_at = min((attempt.silent_at for attempt in self.in_progress), default=math.inf)
            with trio.move_on_at(min(trio.current_time() + seconds, silent_at)):
                await self._changed.wait()
        self._changed = trio.Event()
        now = trio.current_time()
        for attempt in self.in_progress:
            attempt.is_silent = attempt.is_silent or attempt.silent_at <= now
        ended, self._ended = self._ended, []
        return [attempt for attempt in ended if not attempt.is_superseded]

    def supersede_others(
        self, leader: Attempt[_Destination], has_begun: bool | None = None
    ) -> None:
        """Give up the other attempts.

        :param has_begun: gives up only those that have begun, or only those that have not.
        """
        for attempt in self.in_progress:
            if attempt is not leader and has_begun in (None, attempt.has_begun):
                attempt.is_superseded = True
                attempt.cancel("another attempt has gone on")


GroupAttempts = Attempts[replica_group.Group]


async def serve(function: abc.Callable[[Attempts[_Destination]], abc.Awaitable[_T]]) -> _T:
    """Run a function that makes attempts, and give up those that are left at its end."""
    results: list[_T] = []
    errors: list[Exception] = []
    async with trio.open_nursery() as nursery:
        # Caught here because the nursery would wrap it in an exception group.
        try:
            results.append(await function(Attempts(nursery)))
        except Exception as exc:
            errors.append(exc)
        nursery.cancel_scope.cancel()
    if errors:
        raise errors[0]
    return results[0]
