"""Operators who switch presets, perhaps at the same moment."""

from __future__ import annotations

import dataclasses

import expression
import trio

from galenavane.config import accept, declaration
from galenavane.config import head as heads
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.observe import events
from galenavane.simulate import deployment, owner
from galenavane.store import client

TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """A configuration that an operator was told is accepted."""

    at_seconds: float
    head: heads.Head


class Operators:
    """Operators and what they were told.

    :ivar accepted: every accepted change in order of time.
    """

    __slots__ = ("_declared", "_made", "accepted")

    def __init__(self, made: deployment.Deployment, declared: declaration.Declarations) -> None:
        self._made = made
        self._declared = declared
        self.accepted: list[Accepted] = []

    async def switch(self, name: str, preset: str) -> None:
        """Switch the preset as ``galenavane preset`` does."""
        net = self._made.net.face(owner.Owner(name))
        platform = client.make(net, self._made.platform, TIMEOUT_SECONDS)
        current = await accept.read_current(platform)
        if current.is_error():
            events.log("operator.failed", operator=name, code=current.error.code.name)
            return
        told = await accept.accept(platform, current.ok, self._declared, preset)
        if told.is_ok():
            self.accepted.append(Accepted(trio.current_time(), told.ok))
            events.log(
                "operator.accepted", operator=name, preset=preset, generation=told.ok.generation
            )
        else:
            events.log("operator.failed", operator=name, code=told.error.code.name)

    async def read_head(self) -> expression.Result[heads.Head, failure.Failure]:
        """Return the head that the platform holds."""
        platform = client.make(self._made.operator, self._made.platform, TIMEOUT_SECONDS)
        current = await accept.read_current(platform)
        if current.is_ok() and current.ok.head is None:
            text = "the platform holds no configuration"
            return expression.Error(failure.Failure(codes.Code.NO_CONFIGURATION, text))
        return current.map(lambda found: _head(found))


def _head(found: accept.StoredConfiguration) -> heads.Head:
    assert found.head is not None
    return found.head
