"""Sets up the deployment and the callers of an invariant test."""

from __future__ import annotations

import random

from galenavane.net import tcp
from galenavane.proof import local_deployment
from galenavane.soak import record as records
from galenavane.soak import traffic

ENTRIES = ("entry-0", "entry-1", "entry-2")


async def start_deployment(
    deployment: local_deployment.LocalDeployment, ignores_tokens: bool = False
) -> None:
    """Start two groups, two plain targets and three entries, and wait for complete groups.

    :param ignores_tokens: whether engines accept commands with old fencing tokens.
    :raises RuntimeError: when the configuration is not accepted.
    """
    deployment.start_platform()
    for number in range(6):
        deployment.start_engine(f"engine-{number}", f"domain-{number // 3}", ignores_tokens)
    for name in ("desk-0", "desk-1"):
        deployment.start_plain(name)
    for name in ENTRIES:
        deployment.start_entry(name)
    await deployment.register_entries()
    folder = deployment.write_declarations(ignores_tokens, 2)
    applied = await deployment.run_command(
        "apply", str(folder), "--platform", str(deployment.platform_address), "--preset", "ordinary"
    )
    if applied.returncode:
        raise RuntimeError(applied.stderr.decode())
    await deployment.wait_for_complete_groups(2, ENTRIES)


class Callers:
    """Callers of an invariant test.

    :ivar traffic: generates the callers' requests.
    :ivar violations: descriptions of wrong answers.
    """

    __slots__ = ("traffic", "violations")

    def __init__(self, deployment: local_deployment.LocalDeployment) -> None:
        self.violations: list[str] = []
        rng = random.Random(1)
        self.traffic = traffic.Traffic(
            tcp.make(), dict(deployment.entry_addresses), rng, self._add_violation
        )

    def _add_violation(self, number: int, text: str) -> None:
        self.violations.append(text)

    @property
    def records(self) -> list[records.Record]:
        """Records of all requests."""
        return self.traffic.records
