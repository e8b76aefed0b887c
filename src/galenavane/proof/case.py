"""Test case of an invariant."""

from __future__ import annotations

import dataclasses
from collections import abc

from galenavane import invariant
from galenavane.proof import local_deployment


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """A test of an invariant.

    :ivar number: invariant that is tested.
    :ivar injected_failures: description of the injected failures.
    :ivar mutant_name: mutant that the test has to detect.
    :ivar run: runs the test and returns the violations.
    """

    number: invariant.Number
    injected_failures: str
    mutant_name: str
    run: abc.Callable[[local_deployment.LocalDeployment], abc.Awaitable[list[str]]]
