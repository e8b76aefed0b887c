"""Resets the connection to a platform or target at each byte of a request and its response."""

from __future__ import annotations

import collections
import dataclasses
import random

import msgspec
import trio

from galenavane.experiment import small_deployment
from galenavane.failure import outcome as outcomes
from galenavane.net import address as addresses
from galenavane.serve import errors
from galenavane.simulate import faulty_network, virtual_clock

DEADLINE_SECONDS = 6.0
MAX_EXCHANGE_BYTES = 620
_RESET_KINDS = (faulty_network.Kind.RESET_REQUEST, faulty_network.Kind.RESET_ANSWER)


@dataclasses.dataclass(slots=True)
class Result:
    """Findings of the sweep.

    :ivar position_count: number of jobs sent under a reset, for each kind, byte and key.
    :ivar outcome_counts: number of jobs by the outcome reported first.
    """

    position_count: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)
    outcome_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class _SingleFault:
    """A fault for the next connection to one address."""

    __slots__ = ("address", "fault")

    def __init__(self) -> None:
        self.address: addresses.Address | None = None
        self.fault = faulty_network.Fault()

    def next_fault(self, address: addresses.Address) -> faulty_network.Fault:
        """Return the fault for the first connection to the address, none afterwards."""
        if address != self.address:
            return faulty_network.Fault()
        self.address = None
        return self.fault


def run(step_bytes: int = 1) -> Result:
    """Reset connections at every ``step_bytes``-th byte, with and without an idempotency key."""
    return virtual_clock.run(_run_sweep, 1, step_bytes)


async def _run_sweep(step_bytes: int) -> Result:
    result = Result()
    async with trio.open_nursery() as nursery:
        deployment = small_deployment.SmallDeployment(nursery, random.Random(1))
        single_fault = _SingleFault()
        await deployment.start(1, 1, single_fault.next_fault)
        for kind in _RESET_KINDS:
            for position in range(0, MAX_EXCHANGE_BYTES, step_bytes):
                for address, idempotency_key in (
                    (deployment.targets[0], ""),
                    (deployment.targets[0], f"{kind} {position} target"),
                    (deployment.platform, f"{kind} {position} platform"),
                ):
                    single_fault.address, single_fault.fault = address, faulty_network.Fault(
                        kind, position
                    )
                    await _check_position(
                        deployment,
                        result,
                        f"{kind} {position} {address.port} {idempotency_key}",
                        idempotency_key,
                    )
        nursery.cancel_scope.cancel()
    return result


async def _check_position(
    deployment: small_deployment.SmallDeployment, result: Result, job: str, idempotency_key: str
) -> None:
    result.position_count += 1
    first_outcome = await _send_job(deployment, job, idempotency_key)
    repeated_outcome = (
        await _send_job(deployment, job, idempotency_key) if idempotency_key else first_outcome
    )
    result.outcome_counts[first_outcome] += 1
    run_count = sum(job_run.job == job for job_run in await deployment.fetch_ledger())
    not_run = outcomes.Outcome.NOT_RUN.value
    if run_count > 1 or (first_outcome == repeated_outcome == not_run and run_count):
        result.violations.append(
            f"{job}: reported as {first_outcome}, then {repeated_outcome}; "
            f"was run {run_count} times"
        )


async def _send_job(
    deployment: small_deployment.SmallDeployment, job: str, idempotency_key: str
) -> str:
    req = small_deployment.make_request(
        "POST", "/jobs", job.encode(), DEADLINE_SECONDS, idempotency_key
    )
    response = await deployment.call(deployment.entries[0], req)
    if response.status == 201:
        return outcomes.Outcome.ANSWERED.value
    return msgspec.json.decode(response.body, type=errors.ErrorBody).error.outcome
