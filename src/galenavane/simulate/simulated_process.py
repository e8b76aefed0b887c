"""A simulated process as the network sees it."""

from __future__ import annotations

import trio


class SimulatedProcess:
    """A process that can be frozen, thawed and killed.

    :ivar scope: cancels every task of the process.
    :ivar has_ended: whether the process has ended by itself.
    """

    __slots__ = ("_thawed", "has_ended", "name", "scope")

    def __init__(self, name: str) -> None:
        self.name = name
        self.scope = trio.CancelScope()
        self.has_ended = False
        self._thawed = trio.Event()
        self._thawed.set()

    @property
    def is_alive(self) -> bool:
        """Whether the process has neither been killed nor ended."""
        return not (self.scope.cancel_called or self.has_ended)

    @property
    def is_frozen(self) -> bool:
        """Whether the process is stopped for now."""
        return not self._thawed.is_set()

    def freeze(self) -> None:
        """Stop the process at its next input or output."""
        if self._thawed.is_set():
            self._thawed = trio.Event()

    def thaw(self) -> None:
        """Let a frozen process go on as if nothing happened."""
        self._thawed.set()

    def kill(self) -> None:
        """End the process without warning; its connections are reset."""
        self._thawed.set()
        self.scope.cancel()

    async def wait_until_running(self) -> None:
        """Wait while the process is frozen."""
        while not self._thawed.is_set():
            await self._thawed.wait()
        await trio.lowlevel.checkpoint()
