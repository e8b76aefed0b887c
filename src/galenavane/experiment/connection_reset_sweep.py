"""Breaks the connection to platform and target at each byte of request and answer."""

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
from galenavane.simulate import clock, faulty_net

DEADLINE_SECONDS = 6.0
MAX_EXCHANGE_BYTES = 620
_KINDS = (faulty_net.Kind.RESET_REQUEST, faulty_net.Kind.RESET_ANSWER)


@dataclasses.dataclass(slots=True)
class Result:
    """What the sweep showed."""

    positions: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)
    told: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)


class _Once:
    """One fault for the next connection to one address."""

    __slots__ = ("fault", "where")

    def __init__(self) -> None:
        self.where: addresses.Address | None = None
        self.fault = faulty_net.Fault()

    def next_fault(self, where: addresses.Address) -> faulty_net.Fault:
        """Return the fault once."""
        if where != self.where:
            return faulty_net.Fault()
        self.where = None
        return self.fault


def run(step: int = 1) -> Result:
    """Break at every ``step``-th byte, with and without an idempotency key."""
    return clock.run(_main, 1, step)


async def _main(step: int) -> Result:
    result = Result()
    async with trio.open_nursery() as nursery:
        made = small_deployment.SmallDeployment(nursery, random.Random(1))
        once = _Once()
        await made.start(1, 1, once.next_fault)
        for kind in _KINDS:
            for position in range(0, MAX_EXCHANGE_BYTES, step):
                for where, key in (
                    (made.targets[0], ""),
                    (made.targets[0], f"{kind} {position} target"),
                    (made.platform, f"{kind} {position} platform"),
                ):
                    once.where, once.fault = where, faulty_net.Fault(kind, position)
                    await _check(made, result, f"{kind} {position} {where.port} {key}", key)
        nursery.cancel_scope.cancel()
    return result


async def _check(
    made: small_deployment.SmallDeployment, result: Result, job: str, key: str
) -> None:
    result.positions += 1
    first = await _send(made, job, key)
    again = await _send(made, job, key) if key else first
    result.told[first] += 1
    count = sum(line.job == job for line in await made.ledger())
    not_run = outcomes.Outcome.NOT_RUN.value
    if count > 1 or (first == again == not_run and count):
        result.violations.append(f"{job}: told {first}, then {again}; ran {count} times")


async def _send(made: small_deployment.SmallDeployment, job: str, key: str) -> str:
    req = small_deployment.make_request("POST", "/jobs", job.encode(), DEADLINE_SECONDS, key)
    answer = await made.call(made.entries[0], req)
    if answer.status == 201:
        return outcomes.Outcome.ANSWERED.value
    return msgspec.json.decode(answer.body, type=errors.ErrorBody).error.outcome
