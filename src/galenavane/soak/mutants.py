"""Wrong versions of one decision each, which the soak has to catch."""

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
    """One function or bound and what replaces it.

    :ivar owner: module or class that holds it.
    """

    owner: object
    attribute: str
    replacement: typing.Any


@dataclasses.dataclass(slots=True, frozen=True)
class Mutant:
    """One decision made wrongly, wherever it is taken.

    :ivar number: the invariant that it breaks.
    """

    name: str
    number: invariant.Number
    swaps: tuple[Swap, ...]


@contextlib.contextmanager
def applied(wrong: Mutant) -> abc.Iterator[None]:
    """Make the decision wrongly for a time."""
    right = [getattr(one.owner, one.attribute) for one in wrong.swaps]
    for one in wrong.swaps:
        setattr(one.owner, one.attribute, one.replacement)
    try:
        yield
    finally:
        for one, value in zip(wrong.swaps, right, strict=True):
            setattr(one.owner, one.attribute, value)


def _is_complete_by_any_report(
    group: table.Group, seen: abc.Mapping[str, instance_status.InstanceStatus], now: float
) -> bool:
    return all(_was_seen_in(group, seen.get(one.instance)) for one in group.members)


def _was_seen_in(group: table.Group, found: instance_status.InstanceStatus | None) -> bool:
    answer = found.report if found is not None else None
    return answer is not None and (answer.group, answer.epoch) == (group.name, group.epoch)


_make_pool = pool.make


def _pool_of_all(groups: object, *args: typing.Any) -> pool.Pool:
    return _make_pool([], *args)


def _begin_again(state: stream_state.StreamState) -> None:
    state.try_count += 1
    state.delivered_tokens = 0
    state._try_start = 0


_broken = classify.classify_error


def _broken_is_not_run(exc: transport_error.TransportError) -> failure.Failure:
    return msgspec.structs.replace(_broken(exc), outcome=outcomes.Outcome.NOT_RUN)


def _may_always_retry(found: failure.Failure, is_idempotent: bool) -> bool:
    return True


_instances = client._Client.list_instances


async def _instances_all_live(
    self: client._Client, data_centre: str = "", after: int = 0
) -> expression.Result[instance.InstanceList, failure.Failure]:
    found = await _instances(self, data_centre)
    return found.map(
        lambda listed: msgspec.structs.replace(
            listed,
            instances=[
                msgspec.structs.replace(one, state=instance.State.LIVE)
                for one in listed.instances or []
            ],
        )
    )


async def _wait_for_nothing(view: views.View) -> None:
    return


_put = client._Client.put


async def _put_head_always(
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
        "take instances that are in a group already",
        _Number.ONE_GROUP,
        (Swap(pool, "make", _pool_of_all),),
    ),
    Mutant(
        "begin the answer anew in the middle of a stream",
        _Number.OWN_ANSWER,
        (Swap(stream_state.StreamState, "begin_try", _begin_again),),
    ),
    Mutant(
        "tell not_run after bytes were sent",
        _Number.NOT_RUN_IS_TRUE,
        (Swap(classify, "classify_error", _broken_is_not_run),),
    ),
    Mutant(
        "repeat a non-idempotent request after bytes were sent",
        _Number.AT_MOST_ONCE,
        (Swap(classify, "may_retry", _may_always_retry),),
    ),
    Mutant(
        "ignore that a target is leaving",
        _Number.LEAVING_GETS_NOTHING,
        (Swap(client._Client, "list_instances", _instances_all_live),),
    ),
    Mutant(
        "stop without waiting",
        _Number.PLANNED_STOP,
        (Swap(process, "_wait_idle", _wait_for_nothing),),
    ),
    Mutant(
        "write the head unconditionally",
        _Number.CONFIGURATION,
        (Swap(client._Client, "put", _put_head_always),),
    ),
)
