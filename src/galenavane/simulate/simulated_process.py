"""Life cycle of a simulated process."""

from __future__ import annotations

import trio


class SimulatedProcess:
    """Process that can be frozen, thawed and killed.

    :ivar has_ended: whether all tasks of the process have finished or been cancelled.
    :ivar scope: cancel scope of all tasks of the process.
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
        """Whether the process is frozen."""
        return not self._thawed.is_set()

    def freeze(self) -> None:
        """Suspend the process at its next network input or output."""
        if self._thawed.is_set():
            self._thawed = trio.Event()

    def thaw(self) -> None:
        """Resume a frozen process."""
        self._thawed.set()

    def kill(self) -> None:
        """Cancel all tasks without a graceful stop; the caller resets the connections."""
        self._thawed.set()
        self.scope.cancel()

    async def wait_until_running(self) -> None:
        """Wait while the process is frozen; always a checkpoint."""
        while not self._thawed.is_set():
            await self._thawed.wait()
        await trio.lowlevel.checkpoint()
