"""Mutants, each with one deliberately wrong decision, that the tests have to detect."""

from __future__ import annotations

import contextlib
import dataclasses
import math
import typing
from collections import abc

import expression
import msgspec

from galenavane import invariant
from galenavane.config import head as heads
from galenavane.control import completeness, instance_status, pool, table
from galenavane.entry import process
from galenavane.entry import view as views
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.net import transport_error
from galenavane.serve import classify, stream_state
from galenavane.store import client, instance

_Number = invariant.Number


@dataclasses.dataclass(slots=True, frozen=True)
class Swap:
    """Replacement of one function or constant.

    :ivar owner: module or class that has the attribute.
    """

    owner: object
    attribute: str
    replacement: typing.Any


@dataclasses.dataclass(slots=True, frozen=True)
class Mutant:
    """A deliberately wrong version of one decision.

    :ivar number: invariant that it violates.
    :ivar swaps: replacements, one for each place that takes the decision.
    """

    name: str
    number: invariant.Number
    swaps: tuple[Swap, ...]


@contextlib.contextmanager
def applied(mutant: Mutant) -> abc.Iterator[None]:
    """Apply a mutant within the context."""
    original_values = [getattr(swap.owner, swap.attribute) for swap in mutant.swaps]
    for swap in mutant.swaps:
        setattr(swap.owner, swap.attribute, swap.replacement)
    try:
        yield
    finally:
        for swap, value in zip(mutant.swaps, original_values, strict=True):
            setattr(swap.owner, swap.attribute, value)


def _is_complete_by_any_report(
    group: table.Group, statuses: abc.Mapping[str, instance_status.InstanceStatus], now: float
) -> bool:
    return all(
        _reported_membership(group, statuses.get(member.instance)) for member in group.members
    )


def _reported_membership(group: table.Group, status: instance_status.InstanceStatus | None) -> bool:
    report = status.report if status is not None else None
    return report is not None and (report.group, report.epoch) == (group.name, group.epoch)


_make_pool = pool.make


def _make_pool_of_all(groups: object, *args: typing.Any) -> pool.Pool:
    return _make_pool([], *args)


def _restart_answer(state: stream_state.StreamState) -> None:
    state.try_count += 1
    state.delivered_tokens = 0
    state._try_start = 0


_classify_error = classify.classify_error


def _report_not_run(exc: transport_error.TransportError) -> failure.Failure:
    return msgspec.structs.replace(_classify_error(exc), outcome=outcomes.Outcome.NOT_RUN)


def _may_always_retry(cause: failure.Failure, is_idempotent: bool) -> bool:
    return True


_list_instances = client._Client.list_instances


async def _list_all_live(
    self: client._Client, data_centre: str = "", after: int = 0
) -> expression.Result[instance.InstanceList, failure.Failure]:
    result = await _list_instances(self, data_centre)
    return result.map(
        lambda instance_list: msgspec.structs.replace(
            instance_list,
            instances=[
                msgspec.structs.replace(listed_instance, state=instance.State.LIVE)
                for listed_instance in instance_list.instances or []
            ],
        )
    )


async def _skip_wait(view: views.View) -> None:
    return


_put = client._Client.put


async def _put_head_unconditionally(
    self: client._Client, key: str, value: str, if_version: int | None
) -> expression.Result[int, failure.Failure]:
    return await _put(self, key, value, None if key == heads.HEAD_KEY else if_version)


ALL = (
    Mutant(
        "route on a stale completeness proof",
        _Number.COMPLETE_GROUP,
        (
            Swap(completeness, "is_complete", _is_complete_by_any_report),
            Swap(completeness, "MAX_REPORT_AGE_SECONDS", math.inf),
        ),
    ),
    Mutant(
        "assign instances that are already in a group",
        _Number.ONE_GROUP,
        (Swap(pool, "make", _make_pool_of_all),),
    ),
    Mutant(
        "restart the answer in the middle of a stream",
        _Number.OWN_ANSWER,
        (Swap(stream_state.StreamState, "begin_try", _restart_answer),),
    ),
    Mutant(
        "report not_run after bytes were sent",
        _Number.NOT_RUN_IS_TRUE,
        (Swap(classify, "classify_error", _report_not_run),),
    ),
    Mutant(
        "retry a non-idempotent request after bytes were sent",
        _Number.AT_MOST_ONCE,
        (Swap(classify, "may_retry", _may_always_retry),),
    ),
    Mutant(
        "ignore that a target is leaving",
        _Number.LEAVING_GETS_NOTHING,
        (Swap(client._Client, "list_instances", _list_all_live),),
    ),
    Mutant(
        "stop without waiting for requests",
        _Number.PLANNED_STOP,
        (Swap(process, "_wait_idle", _skip_wait),),
    ),
    Mutant(
        "write the head unconditionally",
        _Number.CONFIGURATION,
        (Swap(client._Client, "put", _put_head_unconditionally),),
    ),
)
