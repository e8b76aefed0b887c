"""Checks the members of groups that entries report as stalled, while this entry holds the lease."""

from __future__ import annotations

from collections import abc

import trio

from galenavane.control import controller, controller_state, stall_decision
from galenavane.fleet import replica_group
from galenavane.gateway import member_check
from galenavane.gateway import state as states
from galenavane.observe import events

RECHECK_INTERVAL_SECONDS = 0.1
_Verdict = stall_decision.Verdict


def start(gw: states.Gateway, nursery: trio.Nursery) -> None:
    """Start one check for each group that entries report as stalled."""
    stalls, gw.pending_stalls = gw.pending_stalls, []
    if gw.control is None:
        return
    for service, key, missing in stalls:
        if key not in gw.stalls_in_check:
            gw.stalls_in_check.add(key)
            nursery.start_soon(_check, gw, service, key, missing)


async def _check(
    gw: states.Gateway, service: str, key: replica_group.Key, missing: tuple[str, ...]
) -> None:
    """Check a group's members until it is clear whether the group is lost."""
    began_at = trio.current_time()
    unanswered_since: dict[str, float] = {}
    try:
        verdict = _Verdict.WAIT
        while verdict is _Verdict.WAIT:
            group = _find_undecided_group(gw, service, key)
            if group is None:
                return
            now = trio.current_time()
            # The entry that reported the stall has already tried twice.
            unreachable = await member_check.find_unreachable(gw, group.members, attempts=1)
            unanswered_since = {
                member: unanswered_since.get(member, now) for member in unreachable.all
            }
            verdict = _decide(gw, group, unreachable, unanswered_since)
            if verdict is _Verdict.WAIT:
                await trio.sleep(RECHECK_INTERVAL_SECONDS)
        _carry_out(gw, service, key, verdict, missing, unreachable, trio.current_time() - began_at)
    finally:
        gw.stalls_in_check.discard(key)


def _decide(
    gw: states.Gateway,
    group: replica_group.Group,
    unreachable: member_check.Unreachable,
    unanswered_since: abc.Mapping[str, float],
) -> stall_decision.Verdict:
    head_id = group.head.id if group.head is not None else ""
    gone = stall_decision.find_gone(group, unreachable.refusing, gw.registry.unlisted)
    departing = [member for member in unreachable.refusing if member not in (*gone, head_id)]
    silent = [member for member in unreachable.all if member not in (*gone, *departing)]
    return stall_decision.decide(
        gone,
        gw.sum_head_loads().get(head_id, 0),
        _find_longest(silent, unanswered_since),
        _find_longest(departing, unanswered_since),
    )


def _find_longest(
    member_ids: abc.Iterable[str], unanswered_since: abc.Mapping[str, float]
) -> float | None:
    """Return for how many seconds one of the members has not answered, ``None`` without one."""
    since = min((unanswered_since[member] for member in member_ids), default=None)
    return trio.current_time() - since if since is not None else None


def _find_undecided_group(
    gw: states.Gateway, service: str, key: replica_group.Key
) -> replica_group.Group | None:
    """Return a group, unless this entry may not command or dissolves the group already."""
    catalog = gw.config_state.catalog
    declared = catalog.services.get(service) if catalog is not None else None
    if gw.control is None or declared is None or declared.engine is None:
        return None
    if key in controller_state.find_service(gw.control, service).dissolving:
        return None
    return gw.find_groups(service, declared.engine).get(key)


def _carry_out(
    gw: states.Gateway,
    service: str,
    key: replica_group.Key,
    verdict: stall_decision.Verdict,
    missing: tuple[str, ...],
    unreachable: member_check.Unreachable,
    seconds: float,
) -> None:
    if gw.control is None:
        return
    is_lost = verdict is _Verdict.DISSOLVE
    events.log(
        "group.dissolved" if is_lost else "group.kept",
        group=key.name,
        epoch=key.epoch,
        refusing=",".join(unreachable.refusing),
        silent=",".join(unreachable.silent),
        told=",".join(missing),
        seconds=round(seconds, 3),
    )
    if is_lost:
        state = controller_state.find_service(gw.control, service)
        controller.report_stalled_group(state, key, unreachable.all, trio.current_time())
        gw.wake_control()
