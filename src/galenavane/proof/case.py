"""One proof of an invariant."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane import invariant
from galenavane.proof import stage


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """A proof.

    :ivar wrong: name of the wrong version against which it is shown to fail.
    """

    number: invariant.Number
    what: str
    wrong: str
    run: abc.Callable[[stage.Stage], abc.Awaitable[list[str]]]
