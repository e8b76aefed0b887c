"""Simulated operators that switch presets, possibly concurrently."""

from __future__ import annotations

import dataclasses

import expression
import trio

from galenavane.config import accept, declaration
from galenavane.config import head as heads
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.observe import events
from galenavane.simulate import deployment, simulated_process
from galenavane.store import client

PLATFORM_TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """A configuration change that was confirmed to an operator.

    :ivar at_seconds: simulated time of the confirmation.
    """

    at_seconds: float
    head: heads.Head


class Operators:
    """Operators and the configuration changes confirmed to them.

    :ivar accepted: every accepted change in order of time.
    """

    __slots__ = ("_declarations", "_simulation", "accepted")

    def __init__(
        self, simulation: deployment.Deployment, declarations: declaration.Declarations
    ) -> None:
        self._simulation = simulation
        self._declarations = declarations
        self.accepted: list[Accepted] = []

    async def switch_preset(self, name: str, preset: str) -> None:
        """Switch the preset in the same way as ``galenavane preset``.

        :param name: name of the operator.
        """
        net = self._simulation.net.attach_process(simulated_process.SimulatedProcess(name))
        platform = client.make(net, self._simulation.platform, PLATFORM_TIMEOUT_SECONDS)
        current = await accept.read_current(platform)
        if current.is_error():
            events.log("operator.failed", operator=name, code=current.error.code.name)
            return
        result = await accept.accept(platform, current.ok, self._declarations, preset)
        if result.is_ok():
            self.accepted.append(Accepted(trio.current_time(), result.ok))
            events.log(
                "operator.accepted", operator=name, preset=preset, generation=result.ok.generation
            )
        else:
            events.log("operator.failed", operator=name, code=result.error.code.name)

    async def read_head(self) -> expression.Result[heads.Head, failure.Failure]:
        """Return the head that the platform holds, or a failure if there is none."""
        platform = client.make(
            self._simulation.operator, self._simulation.platform, PLATFORM_TIMEOUT_SECONDS
        )
        current = await accept.read_current(platform)
        if current.is_ok() and current.ok.head is None:
            text = "the platform holds no configuration"
            return expression.Error(failure.Failure(codes.Code.NO_CONFIGURATION, text))
        return current.map(lambda stored_configuration: _require_head(stored_configuration))


def _require_head(stored_configuration: accept.StoredConfiguration) -> heads.Head:
    assert stored_configuration.head is not None
    return stored_configuration.head
