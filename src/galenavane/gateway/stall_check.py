"""Checks the members of groups that entries report as stalled, while this entry holds the lease."""

from __future__ import annotations

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
    try:
        verdict = _Verdict.WAIT
        while verdict is _Verdict.WAIT:
            group = _find_undecided_group(gw, service, key)
            if group is None:
                return
            # The entry that reported the stall has already tried twice.
            unreachable = await member_check.find_unreachable(gw, group.members, attempts=1)
            silent_seconds = trio.current_time() - began_at
            requests = gw.sum_head_loads().get(group.head.id, 0) if group.head is not None else 0
            gone, silent = _sort_by_evidence(group, unreachable)
            verdict = stall_decision.decide(gone, silent, requests, silent_seconds)
            if verdict is _Verdict.WAIT:
                await trio.sleep(RECHECK_INTERVAL_SECONDS)
        _carry_out(gw, service, key, verdict, missing, unreachable, silent_seconds)
    finally:
        gw.stalls_in_check.discard(key)


def _sort_by_evidence(
    group: replica_group.Group, unreachable: member_check.Unreachable
) -> tuple[list[str], list[str]]:
    """Return the members that are gone, and those that may go on.

    A head with too many connections refuses more of them, while it goes on with its streams.
    """
    head_id = group.head.id if group.head is not None else ""
    gone = [member for member in unreachable.gone if member != head_id]
    return gone, [member for member in unreachable.all if member not in gone]


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
    silent_seconds: float,
) -> None:
    if gw.control is None:
        return
    is_lost = verdict is _Verdict.DISSOLVE
    events.log(
        "group.dissolved" if is_lost else "group.kept",
        group=key.name,
        epoch=key.epoch,
        gone=",".join(unreachable.gone),
        silent=",".join(unreachable.silent),
        told=",".join(missing),
        seconds=round(silent_seconds, 3),
    )
    if is_lost:
        state = controller_state.find_service(gw.control, service)
        controller.report_stalled_group(state, key, unreachable.all, trio.current_time())
        gw.wake_control()
