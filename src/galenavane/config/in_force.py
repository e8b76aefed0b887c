"""Decides which configuration is in force on an entry."""

from __future__ import annotations

import dataclasses

from galenavane.config import declaration
from galenavane.config import head as heads


@dataclasses.dataclass(slots=True, frozen=True)
class InForce:
    """A configuration that is in force."""

    head: heads.Head
    declared: declaration.Declarations

    def runs(self) -> list[declaration.Run]:
        """Return the runs of the preset in force."""
        return self.declared.runs_of(self.head.preset)


def choose(current: InForce | None, offered: InForce) -> InForce:
    """Return the configuration to be in force; an entry never goes to a lower generation."""
    if current is None or offered.head.generation > current.head.generation:
        return offered
    return current
