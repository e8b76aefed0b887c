"""One proof of an invariant."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane import invariant
from galenavane.proof import local_deployment


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """A proof.

    :ivar mutant_name: name of the wrong version against which it is shown to fail.
    """

    number: invariant.Number
    disturbance: str
    mutant_name: str
    run: abc.Callable[[local_deployment.LocalDeployment], abc.Awaitable[list[str]]]
